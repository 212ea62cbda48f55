"""LOST: after a rolling restart, streams that the last gateway cuts at the end of its grace time go on nowhere."""
import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib2"))
import testbed as t  # noqa: E402

EVENTS = 30  # of each stream
PACE = 0.38  # seconds between events; gap_goal_ms is 400
TIME_LIMIT = 12.0  # seconds, of these requests
STREAMS = 24
GAP = 1.0  # seconds between the SIGTERMs of two gateways
GRACE = 8.0  # seconds, grace_s
RESTART = 0.2  # seconds after its end at which the platform starts a gateway again
CONTACT = 4.0  # seconds, contact_ms
LEAST_TAKEN_UP = 12  # streams that the rule asks for


class StreamEngine(t.Engine):
    async def answer(self, request, headers, body, writer):
        last = int(headers.get("last-event-id") or 0)
        self.record.add(f"{self.name} streams {request} after event {last}")
        marks = {**self.marks(request), "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        writer.write(("HTTP/1.1 200 X\r\n" + "".join(f"{n}: {v}\r\n" for n, v in marks.items()) + "\r\n").encode())
        for n in range(last + 1, EVENTS + 1):
            await asyncio.sleep(PACE)
            event = f"id: {n}\ndata: piece {n}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


class Attempt:
    """What a caller got of one attempt at a stream."""

    def __init__(self):
        self.first = ""  # status line
        self.last = 0  # id of the last event
        self.is_complete = False

    @property
    def has_begun(self):
        return self.last > 0


async def attempt(record, gateway, name, left, first_name=None, last=0, most=None):
    """Begins a stream, or takes it up after its last event. most: events after which the caller leaves."""
    it = Attempt()
    headers = {"Host": t.HOST, "X-Request-Id": name, "X-Deadline-Ms": str(int(left * 1000)), "Api-Key": "key", "X-Model": "m",
               "X-Token-Count": "100,80", "X-Prefix-Hash": f"5c1e07a2:60,{name}:40"}
    if first_name:
        headers |= {"Resumes": first_name, "Last-Event-Id": str(last)}
    received = 0
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
        writer.write(t.message("POST /story/1 HTTP/1.1", headers))
        it.first, answer = await t.read_head(reader)
        while " 200 " in it.first and (chunk := await t.read_chunk(reader)):
            ids = [int(n[4:]) for n in chunk.decode().split("\n") if n.startswith("id: ")]
            it.last = ids[-1]
            received += len(ids)
            if most and received >= most:
                break
        it.is_complete = it.last == EVENTS
        writer.close()
    except (asyncio.IncompleteReadError, OSError, ValueError) as error:
        record.add(f"{name} at {gateway.name} ends with {type(error).__name__} after event {it.last}")
        return it
    record.add(f"{name} at {gateway.name}: {it.first}, last event {it.last}")
    return it


class Restart:
    """The platform's planned restart of one gateway."""

    def __init__(self, record, gateway):
        self.record, self.gateway = record, gateway
        self.started_at = 0.0

    async def run(self):
        self.gateway.process.send_signal(signal.SIGTERM)
        self.record.add(f"SIGTERM for {self.gateway.name}")
        until = time.monotonic() + GRACE
        while self.gateway.process.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.02)
        self.record.add(f"{self.gateway.name} has ended with {self.gateway.process.poll()}")
        self.gateway.stop()
        await asyncio.sleep(RESTART)
        self.gateway.start()
        self.started_at = time.monotonic()
        self.record.add(f"{self.gateway.name} starts again")


async def case(record, scratch):
    store = t.Store()
    await store.start()
    engines = [StreamEngine(record, name, "model", slots=24) for name in ("e1", "e2", "e3")]
    for it in engines:
        await it.start()
    routes = [t.route("/story/", "streaming", "model", resumable=True, gap_goal_ms=400, sticky=True,
                      timeout_ms=int(TIME_LIMIT * 1000))]
    services = [{"name": "model", "health_path": "/healthz", "max_conns": 450, "protocol": "h1", "tls": False,
                 "engine": {"slots": 24, "kv_capacity": 300000, "models": [{"name": "m"}]}}]
    await store.put("op", "config", t.config(1, routes, services, [{"name": "tenant", "api_keys": ["key"], "priority": 1}]))
    for it in engines:
        await store.put("servers", it.name, it.registration())
    gateways = [t.Gateway(f"g{n}", store.port, scratch) for n in (1, 2, 3, 4)]
    last = gateways[-1]
    try:
        for it in gateways:
            it.start()
        for it in gateways:
            await it.until_ready()
        await asyncio.sleep(2)
        restarts = [Restart(record, it) for it in (gateways if t.TROUBLE else gateways[-1:])]
        running = []
        for it in restarts[:-1]:
            running.append(asyncio.create_task(it.run()))
            await asyncio.sleep(GAP)
        begun_at = time.monotonic()
        streams = [asyncio.create_task(attempt(record, last, f"story-{n}", TIME_LIMIT)) for n in range(STREAMS)]
        await asyncio.sleep(0.6)  # the callers have the first event
        running.append(asyncio.create_task(restarts[-1].run()))
        cut = await asyncio.gather(*streams)
        taken_up_at = time.monotonic()
        others = gateways[:-1]
        for it in restarts[:-1]:
            record.add(f"{it.gateway.name} started {taken_up_at - it.started_at:.1f} s before the streams are taken up")
            if taken_up_at - it.started_at < CONTACT:
                return t.NOT_RUN
        left = TIME_LIMIT - (taken_up_at - begun_at)
        take_ups = [attempt(record, others[n % 3], f"again-{n}", left, f"story-{n}", it.last, 1)
                    for n, it in enumerate(cut) if it.has_begun and not it.is_complete]
        new = [attempt(record, others[n % 3], f"new-{n}", TIME_LIMIT, most=1) for n in range(STREAMS)]
        ends = await asyncio.gather(*take_ups, *new)
        going_on = sum(it.has_begun for it in ends[:len(take_ups)])
        beginning = sum(it.has_begun for it in ends[len(take_ups):])
        await asyncio.gather(*running)
        summary = (f"{len(take_ups)} of {STREAMS} streams were cut and taken up at machines in touch, {going_on} go on;"
                   f" {beginning} of {STREAMS} new streams begin")
        record.add(summary)
        print(summary)
        if len(take_ups) < LEAST_TAKEN_UP:
            return t.NOT_RUN
        return t.BROKEN if going_on / len(take_ups) < beginning / STREAMS / 2 else t.HELD
    finally:
        for it in gateways:
            it.stop()


t.run_case(FOLDER, case)
