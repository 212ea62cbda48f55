"""Many callers come at once to one gateway and keep their connections; then others try to connect."""
import asyncio
import pathlib
import resource
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib3"))
import testbed  # noqa: E402

CROWD = 3700 if testbed.TROUBLE else 300  # callers that come at once, one connection each
AT_ONCE = 40  # of them that connect at the same moment
CONTACT_TIME = 3.0  # seconds, the bound contact_ms
WATCHED_TIME = 9.0  # seconds
CALLERS = 12  # that try to connect meanwhile; the rule needs seven
PATIENCE = 1.0  # seconds after which a caller gives up a request that wasn't read
IDLE_LIMIT = 60000  # milliseconds, idle_timeout_ms; callers may reuse a connection for four fifths of it
REQUEST = {"Host": "atelier.example", "X-Deadline-Ms": 3000, "Api-Key": "key-a"}


def raise_descriptor_limit():
    """Within this process and its children, up to what the system permits them."""
    most = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    if most < 2 * testbed.LIMITS["max_fds"]:
        raise RuntimeError(f"this process may open {most} files at the most")
    resource.setrlimit(resource.RLIMIT_NOFILE, (2 * testbed.LIMITS["max_fds"], most))


async def come(bed, gateway, kept, turn):
    """One of the crowd: sends a request and keeps its connection."""
    async with turn:
        channel = None
        try:
            channel = await asyncio.wait_for(testbed.Channel.open(gateway.front), PATIENCE)
            kept.append(channel)
            channel.send("GET", "/stock/1", {**REQUEST, "X-Request-Id": bed.new_id()})
            await asyncio.wait_for(channel.receive(), PATIENCE)
            return True
        except (OSError, testbed.Closed, asyncio.TimeoutError):
            if channel:
                kept.remove(channel)
                channel.close()
            return False


async def attempt(bed, gateway, number):
    """A caller that tries a new connection again and again. Returns how often, and the times at which it was answered."""
    tries, answered = 0, []
    end = time.monotonic() + WATCHED_TIME
    while time.monotonic() < end:
        tries += 1
        request = bed.new_id()
        try:
            answer = await asyncio.wait_for(testbed.call(gateway.front, "GET", "/stock/2", {
                **REQUEST, "X-Request-Id": request}), PATIENCE)
            answered.append(time.monotonic())
            bed.record(f"caller {number}, {request}: {answer.status}")
            await asyncio.sleep(0.3)
        except (OSError, testbed.Closed, asyncio.TimeoutError) as error:
            bed.record(f"caller {number}, {request}: not read ({type(error).__name__})")
    return tries, answered


async def watch_readiness(bed, gateway, unready):
    while True:
        if not await gateway.is_ready():
            unready.append(time.monotonic())
            bed.record("the gateway says that it isn't ready")
        await asyncio.sleep(0.5)


async def scene(bed):
    raise_descriptor_limit()
    await bed.configure(testbed.config(1, [testbed.route("/stock/", "guichet", "safe", 3000, 300)],
                                       [{"name": "printer-a", "api_keys": ["key-a"]}], [testbed.service("guichet")],
                                       idle_ms=IDLE_LIMIT))
    for n in range(3):
        await bed.add_engine(f"i-{n}", "guichet", work=0.005, slots=60)
    gateway = await bed.add_gateway("edge-laita-1")
    await bed.await_ready()
    kept, turn = [], asyncio.Semaphore(AT_ONCE)
    served = sum(await asyncio.gather(*(come(bed, gateway, kept, turn) for _ in range(CROWD))))
    bed.record(f"{served} of {CROWD} callers of the crowd were answered; {len(kept)} connections are kept, idle")
    unready, begin = [], time.monotonic()
    watching = asyncio.create_task(watch_readiness(bed, gateway, unready))
    results = await asyncio.gather(*(attempt(bed, gateway, n) for n in range(CALLERS)))
    end = time.monotonic()
    watching.cancel()
    for it in kept:
        it.close()
    marks = sorted([begin, end, *unready, *(it for _, answered in results for it in answered)])
    longest = max(b - a for a, b in zip(marks, marks[1:]))
    tries = sum(it for it, _ in results)
    bed.record(f"{CALLERS} callers tried {tries} times; longest time ready without a new connection: {longest:.1f} s")
    if longest > CONTACT_TIME:
        return (f"the gateway says that it is ready and takes no new connection for {longest:.1f} s, while {CALLERS} callers "
                f"try {tries} times; it holds {len(kept)} idle ones")
    return None


testbed.main(FOLDER, scene)
