"""Two gateways are killed at once while the store is away for a moment and comes back from a copy."""
import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib3"))
import testbed  # noqa: E402

REVOKE_TIME = 5.0  # seconds, the bound revoke_ms
AWAY_TIME = 0.3  # seconds for which the store is away
RESTART_DELAY = 0.3  # seconds from a kill to the start by the platform
REWRITE_DELAY = 1.5  # seconds from the store's return until the operator has written again
WATCHED_TIME = 5.0  # seconds of requests after that
KEPT, REMOVED = "key-kept", "key-removed"


def configuration(version, keys):
    return testbed.config(version, [testbed.route("/stock/", "guichet", "safe", 3000, 300)],
                          [{"name": "printer-a", "api_keys": keys}, {"name": "printer-b", "api_keys": ["key-b"]}],
                          [testbed.service("guichet")])


async def ask(bed, gateway, key, sent):
    """Sends one request of a caller, and notes when."""
    request = bed.new_id()
    sent[request] = (time.monotonic(), key)
    try:
        answer = await asyncio.wait_for(testbed.call(gateway.front, "GET", "/stock/1", {
            "Host": "atelier.example", "X-Request-Id": request, "X-Deadline-Ms": 2000, "Api-Key": key}), 2)
        bed.record(f"{request} with {key} to {gateway.name}: {answer.status}")
        return answer.status
    except (OSError, testbed.Closed, asyncio.TimeoutError) as error:
        bed.record(f"{request} with {key} to {gateway.name}: no answer ({type(error).__name__})")
        return None


async def scene(bed):
    await bed.configure(configuration(1, [KEPT, REMOVED]))
    for n in range(3):
        await bed.add_engine(f"i-{n}", "guichet", work=0.02)
    for n in range(2):
        await bed.add_gateway(f"edge-laita-{n + 1}")
    await bed.await_ready()
    sent = {}
    for it in bed.gateways:
        if await ask(bed, it, REMOVED, sent) != 200:
            raise RuntimeError("the key isn't accepted before it is removed")
    copy = bed.store.copy()
    await bed.configure(configuration(4, [KEPT]))
    acknowledged = time.monotonic()
    await asyncio.sleep(REVOKE_TIME + 0.2)
    again = None
    if testbed.TROUBLE:
        bed.store.set_away(True)
        bed.record("the store is away; all gateways are killed")
        for it in bed.gateways:
            it.signal(signal.SIGKILL)
            await it.process.wait()
        await asyncio.sleep(AWAY_TIME)
        await bed.store.restore(copy)
        bed.store.set_away(False)
        bed.record("the store is back, from a copy made before the key was removed")
        again = asyncio.create_task(write_again(bed))
        await asyncio.sleep(max(0, RESTART_DELAY - AWAY_TIME))
        for it in bed.gateways:
            await it.start()
    end = time.monotonic() + WATCHED_TIME
    while time.monotonic() < end:
        await asyncio.gather(*(ask(bed, it, key, sent) for it in bed.gateways for key in (KEPT, REMOVED)))
        await asyncio.sleep(0.1)
    if again:
        await again
    late = [request for engine in bed.engines for _, request, *_ in engine.runs
            if sent[request][1] == REMOVED and sent[request][0] > acknowledged + REVOKE_TIME]
    if late:
        after = [sent[it][0] - acknowledged for it in late]
        return (f"{len(late)} requests with the removed key have run, sent {min(after):.2f} s to {max(after):.2f} s after "
                f"the acknowledgement of its removal")
    return None


async def write_again(bed):
    await asyncio.sleep(REWRITE_DELAY)
    for it in bed.engines:
        await it.register()
    await bed.configure(configuration(4, [KEPT]))


testbed.main(FOLDER, scene)
