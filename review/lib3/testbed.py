"""A small deployment on loopback addresses: gateways as processes, and stand-ins for the platform, engines and callers."""
import asyncio
import base64
import itertools
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2

# Bounds as in the users' page of a small deployment (DEPLOY.md, PROTOCOL.md).
BOUNDS = {"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2500,
          "grace_s": 8, "loss_slack_ms": 200, "config_ms": 2500, "downgrade_ms": 250, "outer_ms": 5000,
          "strict_revoke": True, "revoke_ms": 5000, "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 52,
          "quota_window_s": 8, "quota_overage": 0.1, "quota_slack": 110000, "recover_s": 12, "pass_ms": 200,
          "reuse_window_s": 5.1}
LIMITS = {"cpu_share": 0.19, "cores": 1, "memory_mb": 110, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0}


class Record:
    """Writes what was sent, answered and run to a file."""

    def __init__(self, file):
        self.file = open(file, "w", encoding="utf-8")
        self.start = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} s  {text}\n")
        self.file.flush()


def free_ports(count):
    """Returns ports that were free a moment ago, for TCP and UDP."""
    held = []
    while len(held) < count:
        tcp = socket.socket()
        tcp.bind(("127.0.0.1", 0))
        udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            udp.bind(tcp.getsockname())
        except OSError:
            tcp.close()
            udp.close()
            continue
        held.append((tcp, udp))
    ports = [tcp.getsockname()[1] for tcp, _ in held]
    for tcp, udp in held:
        tcp.close()
        udp.close()
    return ports


# ---- HTTP

class Closed(Exception):
    """The connection ended."""


async def read_head(reader):
    """Returns the start line and the headers by lower-case name."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise Closed(repr(error)) from error
    lines = head.decode("latin-1").split("\r\n")
    return lines[0], {k.lower(): v.strip() for k, _, v in (it.partition(":") for it in lines[1:] if it)}


async def read_body(reader, headers):
    try:
        if headers.get("transfer-encoding") == "chunked":
            body = b""
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                body += (await reader.readexactly(size + 2))[:size]
                if size == 0:
                    return body
        return await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise Closed(repr(error)) from error


def message(start, headers, body=b"", length=True):
    lines = [start, *(f"{k}: {v}" for k, v in headers.items())]
    if length:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


# ---- the platform's store

class Store:
    """Versioned rows, a feed of changes, transactions. It loses nothing unless restore() is called."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.history = []
        self.oldest = 0
        self.era = 1
        self.away = False
        self.changed = asyncio.Condition()
        self.writers = set()

    async def start(self, port):
        self.port = port
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port, limit=2 ** 20)

    async def put(self, table, key, value):
        """Writes a row; None removes it. Returns when it is acknowledged."""
        async with self.changed:
            self.version += 1
            if value is None:
                self.rows.pop((table, key), None)
            else:
                self.rows[(table, key)] = (value, self.version)
            self.history.append((self.version, table, key, value))
            self.changed.notify_all()

    def copy(self):
        return dict(self.rows), self.version

    async def restore(self, copy):
        """Comes back from a copy; what was written since is lost, and versions are given out again."""
        async with self.changed:
            self.rows, self.version = dict(copy[0]), copy[1]
            self.history = []
            self.oldest = self.version
            self.era += 1
            self.changed.notify_all()

    def set_away(self, is_away):
        """While it is away, connections are reset and calls get no answer."""
        self.away = is_away
        if is_away:
            for it in list(self.writers):
                it.transport.abort()

    async def serve(self, reader, writer):
        if self.away:
            writer.transport.abort()
            return
        self.writers.add(writer)
        try:
            while True:
                start, headers = await read_head(reader)
                body = await read_body(reader, headers)
                status, answer = await self.call(start.split(" ")[1], body)
                if self.away:
                    writer.transport.abort()
                    return
                answer["now_ms"] = int(time.monotonic() * 1000)
                writer.write(message(f"HTTP/1.1 {status} X", {"Content-Type": "application/json",
                                                              "Store-Era": self.era}, json.dumps(answer).encode()))
                await writer.drain()
        except (Closed, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def call(self, target, body):
        path, _, query = target.partition("?")
        p = dict(it.partition("=")[::2] for it in query.split("&") if it)
        if path == "/rows-get":
            rows = [self.row(t, k, v, n) for (t, k), (v, n) in sorted(self.rows.items())
                    if t == p["table"] and k >= p.get("from", "")]
            return 200, {"rows": rows, "ver": self.version, "has_more": False}
        if path == "/rows-feed":
            return await self.feed(p["table"], int(p["after_rev"]), int(p["wait_ms"]) / 1000)
        if path == "/rows-tx":
            call = json.loads(body)
            for it in call["expected_rev"]:
                if self.rows.get((it["table"], it["key"]), (None, 0))[1] != it["ver"]:
                    return 412, {"rows": [], "ver": self.version}
            for it in call["puts"]:
                await self.put(it["table"], it["key"], base64.b64decode(it["value"]))
            for it in call["remove"]:
                await self.put(it["table"], it["key"], None)
            return 200, {"ver": self.version}
        return 404, {}

    async def feed(self, table, after, wait):
        def gone():
            return after < self.oldest or after > self.version

        def news():
            return [it for it in self.history if it[0] > after and it[1] == table]
        async with self.changed:
            if not gone() and not news() and wait > 0:
                try:
                    await asyncio.wait_for(self.changed.wait_for(lambda: gone() or news()), wait)
                except asyncio.TimeoutError:
                    pass
            if gone():
                return 410, {}
            return 200, {"rows": [self.row(t, k, v, n) for n, t, k, v in news()], "ver": self.version}

    @staticmethod
    def row(table, key, value, version):
        row = {"table": table, "part": "", "key": key, "ver": version}
        return {**row, "removed": True} if value is None else {**row, "value": base64.b64encode(value).decode()}


# ---- engines

class Engine:
    """Answers requests; what it runs is kept in runs."""

    def __init__(self, store, name, service, zone, port, record, slots=6, work=0.06, body=b"x" * 800,
                 version="1"):
        self.store, self.name, self.service, self.zone, self.port = store, name, service, zone, port
        self.record, self.slots, self.work, self.body = record, slots, work, body
        self.runs = []
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.version = version
        self.answer = self.answer_soundly  # replaced by cases
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, limit=2 ** 20, backlog=1000)
        await self.register()

    async def register(self):
        entry = {"service": self.service, "address": f"127.0.0.1:{self.port}", "zone": self.zone, "version": self.version,
                 "slots": self.slots, "state": self.state, "cold_left_ms": 0, "seq": 1, "born": self.born}
        await self.store.put("servers", self.name, json.dumps(entry).encode())

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                start, headers = await read_head(reader)
                body = await read_body(reader, headers)
                head = {"X-Request-Id": headers.get("x-request-id", "")}
                if headers.get("x-expect-instance", self.name) != self.name:
                    writer.write(message("HTTP/1.1 421 X", {**head, "X-Not-Executed": "1"}))
                    continue
                await self.answer(start, headers, body, head, reader, writer)
                await writer.drain()
        except (Closed, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def end(self):
        """Ends at once, with all connections."""
        self.server.close()
        for it in list(self.writers):
            it.transport.abort()

    def run(self, start, headers, body):
        self.runs.append((time.monotonic(), headers["x-request-id"], headers, start, body))
        self.record(f"engine {self.name} runs {headers['x-request-id']} ({start.split(' ')[1]})")

    async def answer_soundly(self, start, headers, body, head, reader, writer):
        self.run(start, headers, body)
        await asyncio.sleep(self.work)
        writer.write(message("HTTP/1.1 200 OK", {**head, "X-Server-Seal": f"seal.{head['X-Request-Id']}"}, self.body))


# ---- gateways

def fill(template, fields):
    """Fills in a settings template as DEPLOY.md describes it, as far as deploy/gateway.ini needs it."""
    def value(path):
        it = fields
        for part in path.split("."):
            it = it[int(part)] if isinstance(it, list) else it.get(part) if isinstance(it, dict) else None
            if it is None:
                return None
        return it

    def text(match):
        path, _, form = match[1].partition("|")
        it = value(path)
        if form == "json":
            return json.dumps(it)
        return "" if it is None else ",".join(map(str, it)) if isinstance(it, list) else str(it)
    template = re.sub(r"\{\{#([\w.]+)\}\}\n?(.*?)\{\{/\1\}\}\n?",
                      lambda m: m[2] if value(m[1]) is not None else "", template, flags=re.S)
    return re.sub(r"\{\{([\w.|]+)\}\}", text, template)


class Gateway:
    def __init__(self, bed, name, zone, limits=None, bounds=None):
        self.bed, self.name = bed, name
        front, ready, peer, admin = free_ports(4)
        self.front, self.ready_port, self.peer, self.admin = front, ready, peer, admin
        fields = {"node_name": name, "zone": zone, "zones": bed.zones, "bounds": bounds or BOUNDS, "ip": "127.0.0.1",
                  "listen": {"front": f"127.0.0.1:{front}", "readiness": f"127.0.0.1:{ready}"},
                  "internal_ports": [peer, admin], "limits": limits or LIMITS,
                  "platform": {"address": f"127.0.0.1:{bed.store.port}"}}
        deploy = (ROOT / "deploy/system.toml").read_text().partition("[roles.gateway]")[2]
        self.command = re.search(r'^run = "(.*)"', deploy, re.M)[1].split(" ")
        template = re.search(r'^template = "(.*)"', deploy, re.M)[1]
        self.settings = bed.folder / f"{name}.ini"
        self.settings.write_text(fill((ROOT / template).read_text(), fields))
        self.process = None

    async def start(self):
        log = open(self.bed.folder / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            *self.command, cwd=ROOT, stdout=log, stderr=log,
            env={"PATH": os.environ.get("PATH", ""), "MONSOONWARD_CONFIG": str(self.settings)})
        log.close()
        self.bed.record(f"gateway {self.name} starts, process {self.process.pid}")

    def signal(self, number):
        self.bed.record(f"gateway {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            answer = await asyncio.wait_for(call(self.ready_port, "GET", "/readyz", {"Host": "h"}), 1)
            return answer.status == 200
        except (OSError, Closed, asyncio.TimeoutError):
            return False

    def memory_mb(self, field="VmRSS"):
        text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        return int(re.search(field + r":\s+(\d+)", text)[1]) / 1024


# ---- callers

class Answer:
    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body


class Channel:
    """A caller's kept connection."""

    @classmethod
    async def open(cls, port):
        self = cls()
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port, limit=2 ** 22)
        return self

    def send(self, method, path, headers, body=b""):
        self.writer.write(message(f"{method} {path} HTTP/1.1", headers, body, length=bool(body) or method == "POST"))

    async def receive(self):
        start, headers = await read_head(self.reader)
        return Answer(int(start.split(" ")[1]), headers, await read_body(self.reader, headers))

    def close(self):
        self.writer.close()


async def call(port, method, path, headers, body=b""):
    channel = await Channel.open(port)
    try:
        channel.send(method, path, headers, body)
        return await channel.receive()
    finally:
        channel.close()


# ---- the whole

class Testbed:
    """Made for one run of a case; close() ends all that it started."""

    def __init__(self, record, zones=None):
        self.record = Record(record)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.zones = zones or {"laita": "cornouaille", "isole": "cornouaille", "lannion": "tregor"}
        self.gateways, self.engines = [], []
        self.ids = itertools.count(1)

    async def start_store(self):
        self.store = Store()
        await self.store.start(free_ports(1)[0])

    async def configure(self, config):
        await self.store.put("op", "config", json.dumps(config).encode())
        self.record(f"the store has acknowledged configuration {config['version']}")

    async def add_engine(self, name, service, zone="laita", **figures):
        engine = Engine(self.store, name, service, zone, free_ports(1)[0], self.record, **figures)
        await engine.start()
        self.engines.append(engine)
        return engine

    async def add_gateway(self, name, zone="laita", **options):
        gateway = Gateway(self, name, zone, **options)
        await gateway.start()
        self.gateways.append(gateway)
        return gateway

    async def await_ready(self, seconds=10):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if all([await it.is_ready() for it in self.gateways]):
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the gateways don't become ready")

    def new_id(self):
        return f"{next(self.ids):016x}"

    async def close(self):
        for it in self.gateways:
            if it.process and it.process.returncode is None:
                it.process.kill()
                await it.process.wait()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(prefix, service, kind, timeout_ms, goal_ms, attempts=2, **more):
    return {"name": prefix.strip("/"), "host": "atelier.example", "prefix": prefix, "service": service,
            "route_kind": kind, "timeout_ms": timeout_ms, "goal_ms": goal_ms, "max_attempts": attempts,
            "priority": 0, **more}


def config(version, routes, tenants, services, idle_ms=60000):
    return {"version": version, "routes": routes, "services": services, "tenants": tenants,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000,
                       "idle_timeout_ms": idle_ms}}


def service(name, max_conns=96):
    return {"name": name, "health_path": "/healthz", "max_conns": max_conns, "slots": 6}


def main(record, scene):
    """Runs scene(testbed), which returns why the rule was broken, or nothing. Exits as run.sh has to.

    record: the file for what was sent, answered and run
    """
    async def play():
        bed = Testbed(record)
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        try:
            await bed.start_store()
            fault = await scene(bed)
            bed.record(f"broken: {fault}" if fault else "held")
            print(f"broken: {fault}" if fault else "held")
            return BROKEN if fault else HELD
        except (Exception, asyncio.CancelledError) as error:
            bed.record(f"not run: {error!r}")
            print(f"not run: {error!r}")
            return NOT_RUN
        finally:
            await bed.close()
    raise SystemExit(asyncio.run(play()))
