"""Stand-ins for the users' platform, engines and callers, and the gateways of a case as separate processes."""
import asyncio
import base64
import contextlib
import json
import os
import pathlib
import re
import shlex
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
LOOPBACK = "127.0.0.1"
BEAT_S = 1.2  # between two pings of an engine
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes of a case
TIME_LIMIT_S = 110  # of one play


def free_port():
    """Returns a port that nobody listens on."""
    with socket.socket() as it:
        it.bind((LOOPBACK, 0))
        return it.getsockname()[1]


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.file = open(folder / "record.txt", "w", encoding="utf-8")
        self.started_at = time.monotonic()

    def __call__(self, text):
        print(f"{time.monotonic() - self.started_at:8.3f} {text}", file=self.file, flush=True)


# ---- HTTP

class Closed(Exception):
    """The connection ended before the message was complete."""


async def read_head(reader):
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, OSError) as error:
        raise Closed(str(error)) from error
    first, *lines = text.split("\r\n")
    headers = {}
    for line in filter(None, lines):
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers):
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while size := int((await reader.readline()).strip() or b"x", 16):
                body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readexactly(2)
            return body
        return await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ValueError, OSError) as error:
        raise Closed(str(error)) from error


def message(first, headers, body=b""):
    lines = [first, *(f"{name}: {value}" for name, value in headers.items()), f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def serve(port, handle):
    async def connection(reader, writer):
        try:
            await handle(reader, writer)
        except (Closed, OSError):
            pass  # the peer has left
        finally:
            writer.close()
    return await asyncio.start_server(connection, LOOPBACK, port)


# ---- the platform's store

class Store:
    """Table form of the platform's store."""

    def __init__(self):
        self.port = free_port()
        self.era = 1
        self.version = 0
        self.rows = {}  # (table, key) -> (value, version)
        self.history = []  # (version, table, key, value or None)
        self.oldest = 0  # reads from an older version get 410
        self.copies = []  # (time, version, rows) before each change
        self.is_away = False
        self.changed = asyncio.Condition()
        self.writers = set()

    async def start(self):
        self.server = await serve(self.port, self.connection)

    async def put(self, table, key, value):
        async with self.changed:
            self.copies.append((time.monotonic(), self.version, dict(self.rows)))
            self.version += 1
            if value is None:
                self.rows.pop((table, key), None)
            else:
                self.rows[table, key] = (value, self.version)
            self.history.append((self.version, table, key, value))
            self.changed.notify_all()
        return self.version

    def go_away(self):
        """Ends all connections, and answers no more until the store has come back."""
        self.is_away = True
        for it in list(self.writers):
            it.transport.abort()

    async def come_back(self, age_s):
        """Comes back from a copy of that age."""
        at = time.monotonic() - age_s
        async with self.changed:
            later = [it for it in self.copies if it[0] >= at]
            if later:
                _, self.version, self.rows = later[0]
            self.copies.clear()
            self.history.clear()
            self.oldest = self.version
            self.era += 1
            self.is_away = False
            self.changed.notify_all()

    async def connection(self, reader, writer):
        if self.is_away:
            writer.transport.abort()
            return
        self.writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                status, answer = await self.call(first.split(" ")[1], body)
                if self.is_away:
                    return
                answer["now_ms"] = int(time.monotonic() * 1000)
                own = {"Content-Type": "application/json", "Store-Era": str(self.era)}
                writer.write(message(f"HTTP/1.1 {status} X", own, json.dumps(answer).encode()))
                await writer.drain()
        finally:
            self.writers.discard(writer)

    async def call(self, target, body):
        path, _, query = target.partition("?")
        args = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if path == "/rows-get":
            rows = [self.row(t, k, v, n) for (t, k), (v, n) in sorted(self.rows.items())
                    if t == args["table"] and k >= args.get("from", "")]
            return 200, {"rows": rows, "has_more": False, "ver": self.version}
        if path == "/rows-feed":
            return await self.feed(args["table"], int(args["after_rev"]), int(args["wait_ms"]) / 1000)
        if path == "/rows-tx":
            return await self.transaction(json.loads(body))
        return 404, {}

    async def feed(self, table, after, wait_s):
        def news():
            return [it for it in self.history if it[0] > after and it[1] == table]

        def is_gone():
            return not self.oldest <= after <= self.version
        async with self.changed:
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.changed.wait_for(lambda: news() or is_gone()), max(wait_s, 0.001))
        if is_gone():
            return 410, {}
        return 200, {"rows": [self.row(t, k, v, n) for n, t, k, v in news()], "ver": self.version}

    async def transaction(self, call):
        for it in call["expected_rev"]:
            if self.rows.get((it["table"], it["key"]), (None, 0))[1] != it["ver"]:
                return 412, {"rows": [], "ver": self.version}
        for it in call["puts"]:
            await self.put(it["table"], it["key"], base64.b64decode(it["value"]))
        for it in call["remove"]:
            await self.put(it["table"], it["key"], None)
        return 200, {"ver": self.version}

    @staticmethod
    def row(table, key, value, version):
        it = {"table": table, "part": "", "key": key, "ver": version}
        return {**it, "removed": True} if value is None else {**it, "value": base64.b64encode(value).decode()}


# ---- engines

class Request:
    def __init__(self, first, headers, body):
        self.method, self.path, _ = first.split(" ")
        self.headers = headers
        self.body = body
        self.id = headers.get("x-request-id", "")


class Engine:
    """Runs each request after a fixed time, and registers itself with each ping."""

    def __init__(self, record, store, name, service, zone="a", work_s=0.02, slots=8):
        self.record = record
        self.store = store
        self.name = name
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.slots = slots
        self.state = "ready"
        self.version = "v1"
        self.born = int(time.time() * 1000)
        self.port = free_port()
        self.runs = []  # (time, request)
        self.writers = set()

    async def start(self):
        self.server = await serve(self.port, self.connection)
        await self.register()
        self.pings = asyncio.create_task(self.ping())

    def registration(self):
        return json.dumps({"service": self.service, "address": f"{LOOPBACK}:{self.port}", "zone": self.zone,
                           "version": self.version, "slots": self.slots, "state": self.state, "cold_left_ms": 0,
                           "seq": 1, "born": self.born}).encode()

    async def register(self):
        if not self.store.is_away:
            await self.store.put("servers", self.name, self.registration())

    async def ping(self):
        while True:
            await asyncio.sleep(BEAT_S)
            row = self.store.rows.get(("servers", self.name))
            if row is None or row[0] != self.registration():
                await self.register()

    async def connection(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = Request(*(head := await read_head(reader)), await read_body(reader, head[1]))
                if request.headers.get("x-expect-instance", self.name) != self.name:
                    writer.write(message("HTTP/1.1 421 X", {"X-Instance-Id": self.name, "X-Not-Executed": "1"}))
                else:
                    await self.run(request, writer)
                await writer.drain()
        finally:
            self.writers.discard(writer)

    def note_run(self, request):
        self.runs.append((time.monotonic(), request))
        self.record(f"run {request.id} {request.method} {request.path} at {self.name}"
                    f" tenant {request.headers.get('x-tenant', '-')} body {len(request.body)} B")

    async def run(self, request, writer):
        self.note_run(request)
        await asyncio.sleep(self.work_s)
        writer.write(message("HTTP/1.1 200 X", self.marks(request), self.body_for(request)))

    def marks(self, request):
        return {"X-Request-Id": request.id, "X-Server-Seal": f"seal.{request.id}"}

    @staticmethod
    def body_for(request):
        return f"body of {request.id}".encode()


# ---- gateways

def render(template, values):
    """Fills in the placeholders and the sections of a settings template."""
    def look_up(path):
        it = values
        for name in path.split("."):
            it = it.get(name) if isinstance(it, dict) else it[int(name)]
        return it

    def section(match):
        it = look_up(match[1])
        return match[2] if it is not None and it is not False else ""

    def value(match):
        it = look_up(match[1])
        return json.dumps(it) if match[2] else "" if it is None else str(it)
    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, text)


class Gateway:
    """A gateway process with the command of the deploy file, and settings of a small deployment."""

    def __init__(self, record, store, folder, name, zone="a", **bounds):
        self.record = record
        self.name = name
        self.folder = folder
        self.callers, self.health, self.admin, self.peers = (free_port() for _ in range(4))
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["gateway"]
        self.command = shlex.split(role["run"])
        self.settings = folder / f"{name}.ini"
        self.memory_mb = bounds.pop("memory_mb", 110)
        values = {
            "node_name": name, "zone": zone, "ip": LOOPBACK, "zones": {"a": "r1", "b": "r1", "c": "r2"},
            "listen": {"front": f"{LOOPBACK}:{self.callers}", "readiness": f"{LOOPBACK}:{self.health}"},
            "internal_ports": [self.peers, self.admin], "limits": {"memory_mb": self.memory_mb, "max_fds": 4100},
            "platform": {"address": f"{LOOPBACK}:{store.port}"},
            "bounds": {"grace_s": 8, "revoke_ms": 5000, "retry_ratio": 0.2, "retry_slack": 52, "retry_window_s": 10,
                       "quota_overage": 0.1, "quota_slack": 110000, **bounds}}
        self.settings.write_text(render((ROOT / role["template"]).read_text(), values))
        self.process = None

    def start(self):
        env = {"PATH": os.environ["PATH"], "MONSOONWARD_CONFIG": str(self.settings)}
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(self.command, cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=log,
                                            stderr=log)
        self.record(f"start of {self.name}")

    def send(self, number):
        self.record(f"{signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    async def ended(self):
        while self.process.poll() is None:
            await asyncio.sleep(0.01)
        self.record(f"end of {self.name}, code {self.process.returncode}")

    async def until_ready(self, timeout_s=10):
        """Asks as the load balancer does, but more often."""
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            with contextlib.suppress(OSError, Closed):
                reader, writer = await asyncio.open_connection(LOOPBACK, self.health)
                writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                first, _ = await read_head(reader)
                writer.close()
                if first.split(" ")[1] == "200":
                    return
            await asyncio.sleep(0.02)
        raise TimeoutError(f"{self.name} doesn't become ready")


# ---- callers

class Answer:
    def __init__(self, status, headers=None, body=b""):
        self.status = status  # 0: the connection ended without a whole response
        self.headers = headers or {}
        self.body = body


class Connection:
    """A caller's connection, which may be kept for several requests."""

    def __init__(self, record, gateway):
        self.record = record
        self.gateway = gateway
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(LOOPBACK, self.gateway.callers)

    async def ask(self, name, method, path, body=b"", **headers):
        own = {"Host": "shop.example", "X-Request-Id": name, "X-Deadline-Ms": "3000",
               **{key.replace("_", "-"): it for key, it in headers.items()}}
        self.record(f"sent {name} {method} {path} to {self.gateway.name} key {own.get('Api-Key', '-')}"
                    f" body {len(body)} B")
        try:
            if self.writer is None:
                await self.open()
            self.writer.write(message(f"{method} {path} HTTP/1.1", own, body))
            await self.writer.drain()
            first, answer_headers = await read_head(self.reader)
            answer = Answer(int(first.split(" ")[1]), answer_headers, await read_body(self.reader, answer_headers))
        except (Closed, OSError) as error:
            answer = Answer(0)
            self.record(f"connection of {name} ended: {error}")
        self.record(f"answered {name} {answer.status} {answer.body[:40]!r}")
        return answer

    def close(self):
        if self.writer:
            self.writer.close()


async def ask(record, gateway, *args, **headers):
    """Sends one request on a connection of its own."""
    connection = Connection(record, gateway)
    try:
        return await connection.ask(*args, **headers)
    finally:
        connection.close()


def route(name, prefix, service, kind, **more):
    return {"name": name, "host": "shop.example", "prefix": prefix, "service": service, "route_kind": kind,
            "timeout_ms": 3000, "goal_ms": 300, "priority": 0, "max_attempts": 2, "public": False, **more}


def configuration(version, routes, tenants, services=("desk",)):
    return json.dumps({
        "version": version, "routes": routes, "tenants": tenants,
        "services": [{"name": it, "health_path": "/healthz", "max_conns": 96, "protocol": "h1", "tls": False}
                     for it in services],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000}}).encode()


# ---- running a case

def run_case(play, file):
    """Runs play(record, folder, has_trouble, gateways) and exits with its result; ends all gateways in it."""
    case = pathlib.Path(file).resolve().parent
    record = Record(case)
    gateways = []
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    result = NOT_RUN
    loop = asyncio.new_event_loop()
    with tempfile.TemporaryDirectory(prefix="monsoonward-review-") as folder:
        try:
            record(f"case {case.name}, {'with' if has_trouble else 'without'} the disruption")
            broken = loop.run_until_complete(
                asyncio.wait_for(play(record, pathlib.Path(folder), has_trouble, gateways), TIME_LIMIT_S))
            for it in broken:
                record(f"broken: {it}")
            result = BROKEN if broken else HELD
        except Exception as error:  # the case could not run
            record(f"not run: {error!r}")
        finally:
            for it in gateways:
                if it.process and it.process.poll() is None:
                    it.process.kill()
                    it.process.wait()
    record(f"result {result}")
    os._exit(result)  # the stand-ins' open connections need no orderly end
