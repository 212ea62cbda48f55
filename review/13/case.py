"""All engines of a service crash at the same moment and are back after 3 s."""
import asyncio
import collections
import functools
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib3"))
import testbed  # noqa: E402

BEFORE_CRASH = 6.0  # seconds of load
DOWN_TIME = 3.0  # seconds until the engines are back
AFTER_RETURN = 75.0  # seconds of load
INTERVAL = 0.05  # seconds between two requests of a kind
EVENTS, EVENT_INTERVAL = 9, 0.03  # of a stream; seconds
SHARED_PART = "5c1e07a2:60"  # of all prompts: "60 shared + 2,890 tokens in"
KINDS = ("repeat-check", "stock-lookup")


async def stream(engine, start, headers, body, head, reader, writer):
    """Answers as a model engine: an event every few milliseconds."""
    engine.run(start, headers, body)
    request = head["X-Request-Id"]
    first = int(headers.get("last-event-id", "0")) + 1
    fields = {**head, "X-Server-Seal": f"seal.{request}", "Content-Type": "text/event-stream",
              "Transfer-Encoding": "chunked"}
    writer.write(testbed.message("HTTP/1.1 200 OK", fields, length=False))
    for n in range(first, EVENTS + 1):
        await asyncio.sleep(EVENT_INTERVAL)
        event = f"id: {n}\ndata: {request}.{n}\n\n".encode()
        writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        await writer.drain()
        if reader.at_eof():
            raise testbed.Closed("the caller has left")
    writer.write(b"0\r\n\r\n")


class Load:
    def __init__(self, bed):
        self.bed = bed
        self.ends = {kind: collections.Counter() for kind in KINDS}
        self.late = {kind: collections.Counter() for kind in KINDS}  # of requests sent after the engines' return
        self.returned_at = None

    async def play(self):
        for n in range(10 ** 6):
            for kind in KINDS:
                asyncio.create_task(self.ask(kind, self.bed.gateways[n % 2], n))
            await asyncio.sleep(INTERVAL)

    async def ask(self, kind, gateway, n):
        request = self.bed.new_id()
        headers = {"Host": "atelier.example", "X-Request-Id": request, "X-Deadline-Ms": 4000, "Api-Key": "key-a"}
        is_late = self.returned_at is not None
        self.bed.record(f"{request} ({kind}) is sent to {gateway.name}")
        try:
            if kind == "repeat-check":
                headers |= {"X-Model": "m", "X-Token-Count": "2950,80",
                            "X-Prefix-Hash": f"{SHARED_PART},{n + 1:08x}:2890"}
                call = testbed.call(gateway.front, "POST", "/repeat/1", headers, f"pattern {n}".encode())
            else:
                call = testbed.call(gateway.front, "GET", f"/stock/{n}", headers)
            end = (await asyncio.wait_for(call, 4)).status
        except (OSError, testbed.Closed, asyncio.TimeoutError) as error:
            end = type(error).__name__
        self.ends[kind][end] += 1
        if is_late:
            self.late[kind][end] += 1
        self.bed.record(f"{request} ({kind}) to {gateway.name}: {end}")


def share(counter):
    return counter[200] / max(1, sum(counter.values()))


async def add_engines(bed, life):
    for n in range(3):
        engine = await bed.add_engine(f"i-{life}-{n}", "atelier-model", slots=5)
        engine.answer = functools.partial(stream, engine)


async def scene(bed):
    await bed.configure(testbed.config(
        1, [testbed.route("/repeat/", "atelier-model", "streaming", 4000, 600, attempts=2, resumable=True, sticky=True),
            testbed.route("/stock/", "guichet", "safe", 3000, 300)],
        [{"name": "printer-a", "api_keys": ["key-a"]}],
        [testbed.service("atelier-model", 360), testbed.service("guichet")]))
    for n in range(3):
        await bed.add_engine(f"i-guichet-{n}", "guichet", work=0.02)
    await add_engines(bed, "first")
    for n in range(2):
        await bed.add_gateway(f"edge-laita-{n + 1}")
    await bed.await_ready()
    load = Load(bed)
    playing = asyncio.create_task(load.play())
    await asyncio.sleep(BEFORE_CRASH)
    if testbed.TROUBLE:
        crashed = [it for it in bed.engines if it.service == "atelier-model"]
        bed.record("all engines of atelier-model crash")
        for it in crashed:
            it.end()
        await asyncio.sleep(DOWN_TIME)
        await add_engines(bed, "second")
        for it in crashed:  # their entries go after three ping intervals
            await bed.store.put("servers", it.name, None)
        bed.record("three engines of atelier-model are back")
    load.returned_at = time.monotonic()
    await asyncio.sleep(AFTER_RETURN)
    playing.cancel()
    everything = sum(load.ends.values(), collections.Counter())
    for kind in KINDS:
        bed.record(f"{kind}: {dict(load.ends[kind])}; since the return: {dict(load.late[kind])}")
    ran = sum(len(it.runs) for it in bed.engines if it.name.startswith("i-second"))
    streams = load.ends["repeat-check"]
    if share(streams) < share(everything) / 4:
        late = load.late["repeat-check"]
        return (f"repeat-check is served {share(streams):.2f}, all requests {share(everything):.2f}; in the {AFTER_RETURN:.0f} s "
                f"after the engines' return {late[200]} of {sum(late.values())} are served ({dict(late)}), {ran} sent to them")
    return None


testbed.main(FOLDER / "record.txt", scene)
