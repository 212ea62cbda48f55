"""Stand-ins of the platform for the cases 6 to 10: store, engine, caller and gateway processes on loopback addresses."""
import asyncio
import base64
import json
import os
import pathlib
import re
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HOST = "caller.example"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes of a case


class Record:
    """What was sent, answered and run, in the order in which it was seen."""

    def __init__(self, folder):
        self.lines = []
        self.path = pathlib.Path(folder) / "record.txt"
        self.started_at = time.monotonic()

    def add(self, text):
        self.lines.append(f"{time.monotonic() - self.started_at:8.3f} s  {text}")

    def save(self):
        self.path.write_text("\n".join(self.lines) + "\n")


# ---- HTTP

async def read_head(reader):
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = text[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_chunk(reader):
    """Returns the next chunk of a chunked body; empty after the last one."""
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    return (await reader.readexactly(size + 2))[:-2]


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while chunk := await read_chunk(reader):
            body += chunk
        return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


def message(first, headers, body=b""):
    lines = [first] + [f"{name}: {value}" for name, value in headers.items()] + [f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def serve(handle, ip="127.0.0.1", port=0):
    """Listens; handle(reader, writer) is called for each connection. Returns the server and its port."""
    async def connection(reader, writer):
        try:
            await handle(reader, writer)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError, ValueError):
            pass  # the peer has left, or the case ends
        finally:
            writer.close()
    server = await asyncio.start_server(connection, ip, port, limit=1 << 20, backlog=4096)
    return server, server.sockets[0].getsockname()[1]


# ---- the platform's store

class Store:
    def __init__(self):
        self.rows = {}  # (table, key) -> (value, version)
        self.version = 0
        self.history = []  # (version, table, key, value or None)
        self.era = 1
        self.changed = asyncio.Condition()

    async def start(self):
        self.server, self.port = await serve(self.connection)

    async def put(self, table, key, value):
        async with self.changed:
            self.version += 1
            if value is None:
                self.rows.pop((table, key), None)
            else:
                self.rows[table, key] = (value, self.version)
            self.history.append((self.version, table, key, value))
            self.changed.notify_all()

    async def connection(self, reader, writer):
        while True:
            first, headers = await read_head(reader)
            body = await read_body(reader, headers)
            status, answer = await self.call(first.split(" ")[1], body)
            answer["now_ms"] = int(time.monotonic() * 1000)
            writer.write(message(f"HTTP/1.1 {status} X", {"Content-Type": "application/json", "Store-Era": str(self.era)},
                                 json.dumps(answer).encode()))
            await writer.drain()

    async def call(self, target, body):
        path, _, query = target.partition("?")
        fields = dict(it.partition("=")[::2] for it in query.split("&"))
        if path == "/rows-get":
            rows = [self.row(*it) for it in sorted(self.rows.items()) if it[0][0] == fields["table"]]
            return 200, {"rows": rows, "ver": self.version, "has_more": False}
        if path == "/rows-feed":
            answer = await self.feed(fields["table"], int(fields["after_rev"]), int(fields["wait_ms"]) / 1000)
            return (200, answer) if answer else (410, {})
        if path == "/rows-tx":
            return await self.transaction(json.loads(body))
        return 404, {}

    async def feed(self, table, after, wait):
        def changes():
            return [it for it in self.history if it[0] > after and it[1] == table]
        async with self.changed:
            if not changes() and wait > 0:
                try:
                    await asyncio.wait_for(self.changed.wait_for(changes), wait)
                except asyncio.TimeoutError:
                    pass
        return {"rows": [self.row((t, k), (v, n)) for n, t, k, v in changes()], "ver": self.version}

    async def transaction(self, call):
        for it in call.get("expected_rev", []):
            if self.rows.get((it["table"], it["key"]), (None, 0))[1] != it["ver"]:
                return 412, {"rows": [], "ver": self.version}
        for it in call.get("puts", []):
            await self.put(it["table"], it["key"], base64.b64decode(it["value"]))
        for it in call.get("remove", []):
            await self.put(it["table"], it["key"], None)
        return 200, {"ver": self.version}

    @staticmethod
    def row(name, entry):
        row = {"table": name[0], "part": "", "key": name[1], "ver": entry[1]}
        if entry[0] is None:
            return {**row, "removed": True}
        return {**row, "value": base64.b64encode(entry[0]).decode()}


class DrillStore(Store):
    """A store that may be away for a moment and come back from a copy."""

    def __init__(self):
        super().__init__()
        self.is_away = False
        self.forgotten = 0  # changes up to this version are no longer in the history
        self.writers = set()

    def copy(self):
        return dict(self.rows), self.version

    def leave(self):
        self.is_away = True
        for it in list(self.writers):
            it.transport.abort()

    def come_back(self, copy=None):
        if copy:
            self.rows, self.version = dict(copy[0]), copy[1]
            self.history = []
            self.forgotten = self.version
            self.era += 1
        self.is_away = False

    async def connection(self, reader, writer):
        if self.is_away:
            writer.transport.abort()
            return
        self.writers.add(writer)
        try:
            await super().connection(reader, writer)
        finally:
            self.writers.discard(writer)

    async def call(self, target, body):
        path, _, query = target.partition("?")
        if path == "/rows-feed":
            after = int(dict(it.partition("=")[::2] for it in query.split("&"))["after_rev"])
            if not self.forgotten <= after <= self.version:
                return 410, {}
        return await super().call(target, body)


def config(version, routes, services, tenants, idle_timeout_ms=15000):
    return json.dumps({
        "version": version, "routes": routes, "services": services, "tenants": tenants,
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                   "idle_timeout_ms": idle_timeout_ms}}).encode()


def route(prefix, kind, service, **more):
    return {"name": "r" + prefix.strip("/"), "host": HOST, "prefix": prefix, "route_kind": kind, "timeout_ms": 4000,
            "goal_ms": 600, "priority": 1, "service": service, "max_attempts": 2, "public": False, **more}


# ---- engines

class Engine:
    """An engine that answers each request with a short body. Others override answer()."""

    def __init__(self, record, name, service, zone="z1", slots=6):
        self.record, self.name, self.service, self.zone, self.slots = record, name, service, zone, slots
        self.born = int(time.time() * 1000)
        self.writers = set()
        self.state = "ready"
        self.port = 0  # chosen at the first start, and kept

    async def start(self):
        self.server, self.port = await serve(self.connection, port=self.port)

    def registration(self):
        return json.dumps({"service": self.service, "address": f"127.0.0.1:{self.port}", "zone": self.zone, "version": "v1",
                           "slots": self.slots, "state": self.state, "cold_left_ms": 0, "seq": 1, "born": self.born}).encode()

    async def connection(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                request = headers.get("x-request-id", "")
                if headers.get("x-expect-instance", self.name) != self.name:
                    writer.write(message("HTTP/1.1 421 X", {"X-Request-Id": request, "X-Not-Executed": "1"}))
                    continue
                self.record.add(f"{self.name} runs {request} {first}")
                await self.answer(request, headers, body, writer)
                await writer.drain()
        finally:
            self.writers.discard(writer)

    def marks(self, request):
        return {"X-Request-Id": request, "X-Server-Seal": f"seal.{self.name}.{request}"}

    async def answer(self, request, headers, body, writer):
        writer.write(message("HTTP/1.1 200 X", self.marks(request), f"{self.name} {request}".encode()))

    def crash(self):
        """Ends the engine: nothing listens, and all its connections are reset."""
        self.server.close()
        for it in list(self.writers):
            it.transport.abort()


# ---- gateway processes

def render(template, fields):
    """Fills in a template of settings, as the platform does."""
    def value(path, scope):
        for part in path.split("."):
            if isinstance(scope, list):
                scope = scope[int(part)]
            elif isinstance(scope, dict):
                scope = scope.get(part)
            else:
                return None
        return scope
    def section(match):
        return render(match[2], fields) if value(match[1], fields) not in (None, False) else ""
    def field(match):
        it = value(match[1], fields)
        if match[2]:
            return json.dumps(it)
        return "" if it is None else str(it)
    text = re.sub(r"\{\{#([\w.]+)\}\}\n?(.*?)\{\{/\1\}\}\n?", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", field, text)


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for it in sockets:
        it.bind(("127.0.0.1", 0))
    ports = [it.getsockname()[1] for it in sockets]
    for it in sockets:
        it.close()
    return ports


def has_descriptors(count):
    """Returns whether this process and those that it starts may hold so many descriptors each."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if limit < count:
        print(f"could not run: {count} descriptors are needed, the limit is {limit}")
    return limit >= count


class Gateway:
    """A process of the role that the deploy file runs on entry hosts."""

    # The figures are those of the smallest machines of quimperle-motifs-grown.
    def __init__(self, name, store_port, folder, memory_mb=88, max_fds=4100, zone="z1"):
        self.name = name
        self.port, self.health, self.peer, self.admin = free_ports(4)
        self.fields = {
            "node_name": name, "zone": zone, "zones": {"z1": "r1", "z2": "r1"}, "ip": "127.0.0.1",
            "listen": {"front": f"127.0.0.1:{self.port}", "readiness": f"127.0.0.1:{self.health}"},
            "internal_ports": [self.peer, self.admin], "platform": {"address": f"127.0.0.1:{store_port}"},
            "limits": {"memory_mb": memory_mb, "max_fds": max_fds},
            "bounds": {"grace_s": 8, "revoke_ms": 5000, "config_ms": 4000, "retry_ratio": 0.2, "retry_slack": 84,
                       "retry_window_s": 10, "quota_overage": 0.1, "quota_slack": 110000, "reuse_window_s": 5.1}}
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["gateway"]
        self.command = deploy["run"].split(" ")
        self.settings = pathlib.Path(folder) / f"{name}.settings"
        self.settings.write_text(render((ROOT / deploy["template"]).read_text(), self.fields))
        self.log = open(pathlib.Path(folder) / f"{name}.log", "ab")
        self.process = None

    def start(self):
        self.process = subprocess.Popen([str(ROOT / self.command[0]), *self.command[1:]], cwd=ROOT, stdout=self.log,
                                        stderr=subprocess.STDOUT,
                                        env={"PATH": os.environ["PATH"], "MONSOONWARD_CONFIG": str(self.settings)})

    async def until_ready(self, seconds=10):
        for _ in range(int(seconds * 20)):
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.health)
                writer.write(message("GET /readyz HTTP/1.1", {"Host": "h"}))
                first, _ = await read_head(reader)
                writer.close()
                if " 200 " in first:
                    return
            except (OSError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{self.name} is not ready")

    def memory_mb(self):
        """Returns the memory that the process has written to; its program and libraries don't count."""
        status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        return next(int(it.split()[1]) for it in status.splitlines() if it.startswith("RssAnon:")) / 1024

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


def run_case(folder, case):
    """Runs case(record, scratch folder), a coroutine that returns an exit code, and ends the program with it."""
    record = Record(folder)
    scratch = tempfile.mkdtemp(prefix="review-")
    code = NOT_RUN
    try:
        code = asyncio.run(case(record, scratch))
    except Exception as error:  # the case couldn't run
        record.add(f"could not run: {type(error).__name__} {error}")
        print(f"could not run: {type(error).__name__} {error}")
    finally:
        record.save()
        if "KEEP" not in os.environ:
            shutil.rmtree(scratch, ignore_errors=True)
        else:
            print(scratch)
    os._exit(code)
