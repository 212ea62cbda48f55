"""The store loses one answer for each gateway, the one that tells of an engine's new version."""
import asyncio
import functools
import json
import pathlib
import re
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib3"))
import testbed  # noqa: E402

SERVICE = "survey-llm"
EARNING_TIME = 6.0  # seconds, in which the gateways earn retries
STREAMS = 30  # begun at about the same time
EVENTS, EVENT_INTERVAL = 40, 0.05  # of a stream; seconds
LOST_TABLE = "servers"


async def stream(engine, start, headers, body, head, reader, writer):
    """Answers as a model engine; each event names the version of the software that wrote it."""
    engine.run(start, headers, body)
    request = head["X-Request-Id"]
    first = int(headers.get("last-event-id", "0")) + 1
    fields = {**head, "X-Server-Seal": f"seal.{request}", "Content-Type": "text/event-stream",
              "Transfer-Encoding": "chunked"}
    writer.write(testbed.message("HTTP/1.1 200 OK", fields, length=False))
    for n in range(first, EVENTS + 1):
        await asyncio.sleep(EVENT_INTERVAL)
        event = f"id: {n}\ndata: {engine.version}\n\n".encode()
        writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        await writer.drain()
        if reader.at_eof():
            raise testbed.Closed("the caller has left")
    writer.write(b"0\r\n\r\n")


class LosingStore(testbed.Store):
    """Loses the answers to the calls that wait for changes of a table when told so. A channel on which an answer was lost
    delivers nothing further."""

    losing = False
    lost = 0

    async def call(self, target, body):
        answer = await super().call(target, body)
        is_poll = target.startswith("/rows-feed") and f"table={LOST_TABLE}&" in target
        if self.losing and is_poll and "wait_ms=0" not in target:
            self.lost += 1
            await asyncio.sleep(3600)
        return answer


async def ask(bed, gateway, n, versions):
    """Sends a request for a stream, and notes the versions in its events."""
    request = bed.new_id()
    channel = await testbed.Channel.open(gateway.front)
    got = []
    bed.record(f"{request} is sent to {gateway.name}")
    try:
        channel.send("POST", "/drafts/1", {
            "Host": "atelier.example", "X-Request-Id": request, "X-Deadline-Ms": 15000, "Api-Key": "key-a", "X-Model": "m",
            "X-Token-Count": "600,280", "X-Prefix-Hash": f"5c1e07a2:60,{n + 1:08x}:540"}, f"question {n}".encode())
        _, headers = await testbed.read_head(channel.reader)
        data = b""
        while headers.get("transfer-encoding") == "chunked":
            size = int((await channel.reader.readuntil(b"\r\n")).strip(), 16)
            data += (await channel.reader.readexactly(size + 2))[:size]
            got = re.findall(rb"data: (\S+)\n\n", data)
            if size == 0:
                break
    except (testbed.Closed, OSError, asyncio.IncompleteReadError):
        pass
    finally:
        channel.close()
    found = sorted({it.decode() for it in got})
    versions[request] = found
    bed.record(f"{request} to {gateway.name}: {len(got)} events of version {' and '.join(found) or 'none'}")


async def scene(bed):
    bed.store = LosingStore()
    await bed.store.start(testbed.free_ports(1)[0])
    await bed.configure(testbed.config(
        1, [testbed.route("/drafts/", SERVICE, "streaming", 15000, 300, attempts=2, resumable=True, sticky=True)],
        [{"name": "ministry", "api_keys": ["key-a"]}], [testbed.service(SERVICE, 310)]))
    engines = []
    for n in range(3):
        engines.append(await bed.add_engine(f"i-{n}", SERVICE, slots=9, version="v1"))
        engines[n].answer = functools.partial(stream, engines[n])
    for n in range(2):
        await bed.add_gateway(f"edge-{n + 1}")
    await bed.await_ready()
    await asyncio.sleep(EARNING_TIME)
    engines.append(await bed.add_engine("i-3", SERVICE, slots=9, version="v1"))  # the gateways' calls begin anew with it
    engines[3].answer = functools.partial(stream, engines[3])
    await asyncio.sleep(1.0)
    first = engines[0]
    bed.store.losing = testbed.TROUBLE
    first.end()  # it starts again under its name with another version, which is no disruption
    first.version, first.born = "v2", int(time.time() * 1000)
    await asyncio.sleep(0.3)
    await first.start()
    bed.record(f"{first.name} has started again with version v2, and its registration is acknowledged")
    await asyncio.sleep(0.2)
    bed.store.losing = False
    bed.record(f"the store has lost {bed.store.lost} answers, and loses no more")
    await asyncio.sleep(3.5)
    versions = {}
    asking = [asyncio.create_task(ask(bed, bed.gateways[n % 2], n, versions)) for n in range(STREAMS)]
    await asyncio.sleep(0.6)
    first.end()
    bed.record(f"{first.name} crashes")
    await asyncio.gather(*asking)
    mixed = [it for it, found in versions.items() if len(found) > 1]
    bed.record(f"{len(mixed)} of {STREAMS} streams hold events of two versions; all: {json.dumps(versions)}")
    if len(mixed) > 2:
        return f"{len(mixed)} of {STREAMS} streams hold events of two versions ({bed.store.lost} answers of the store were lost)"
    return None


testbed.main(FOLDER / "record.txt", scene)
