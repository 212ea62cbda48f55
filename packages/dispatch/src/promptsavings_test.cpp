#include "monsoonward/dispatch/dispatch.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace monsoonward;
using namespace std::chrono_literals;

namespace
{

const ServiceName service("s");

/// Two engines of 8 slots; they read a token in 20 us, and answer later by 10 ms for each request in progress.
struct Fixture
{
    VirtualClock clock;
    Topology topology {DataCentreName("here"), {{DataCentreName("here"), RegionName("r")}}};
    EngineDirectory directory;
    EngineHealth health;
    FleetView fleet {HostName("own")};
    LimitDivision division {topology, HostName("own"), fleet};
    EngineLimits limits;
    EngineLimiter limiter {limits, division};
    PromptSavings savings {5s};
    std::unique_ptr<Placer> placer = makeFirstBytesPlacer(topology, directory, health, fleet, limiter, &savings);

    Fixture()
    {
        ServingConfiguration configuration;
        configuration.services.push_back({service, 0, true, 100000});
        savings.configure(configuration);
        for (const auto *it : {"a", "b"}) {
            directory.put({EngineName(it), service, {"10.0.0.1", 80}, DataCentreName("here"), 8, false});
        }
        for (unsigned n = 0; n < 400; ++n) {
            const auto tokens = n * 37 % 4000;
            savings.firstBytesReceived(service, tokens, 16ms + tokens * 20us);
            for (const auto *it : {"a", "b"}) {
                const auto load = n % 8 / 8.0;
                placer->firstBytesReceived(engine(it), load, 50ms + std::chrono::milliseconds(n % 8 * 10), clock.now());
            }
        }
    }
    const EngineRecord &engine(const std::string &name) const
    {
        return *directory.find(EngineName(name));
    }
    Placement place(std::string_view parts) const
    {
        PlacementRequest request;
        request.service = service;
        request.latencyObjective = 600ms;
        request.timeLeft = 4s;
        request.prompt = promptBeginnings(parts, "c", "m");
        return placer->place(request, clock.now());
    }
    void send(const std::string &name, std::string_view parts = "")
    {
        placer->requestSent(EngineName(name), clock.now());
        savings.requestSent(engine(name), promptBeginnings(parts, "c", "m"), clock.now());
    }
};

} // namespace

TEST_CASE_FIXTURE(Fixture, "a session goes on at the engine that holds its beginning while the wait there is shorter")
{
    send("b", "session:3000,one:10"); // 60 ms to read
    const auto placement = place("session:3000,two:10");
    CHECK(placement.engine.name == EngineName("b"));
    CHECK(placement.heldTokens == doctest::Approx(3000).epsilon(0.1));
    CHECK(placement.isForHeldPrompt);
    CHECK(place("other:3000,two:10").engine.name == EngineName("a"));
}

TEST_CASE_FIXTURE(Fixture, "a hot beginning is read by another engine when the wait exceeds what is saved")
{
    send("b", "hot:1000,one:10"); // 20 ms to read
    for (unsigned n = 0; n < 5; ++n) {
        send("b");
    }
    const auto placement = place("hot:1000,two:10");
    CHECK(placement.engine.name == EngineName("a"));
    CHECK_FALSE(placement.isForHeldPrompt);
}

TEST_CASE_FIXTURE(Fixture, "a new run of an engine holds nothing")
{
    send("b", "session:3000,one:10");
    auto record = engine("b");
    ++record.incarnation;
    directory.put(record);
    CHECK(place("session:3000,two:10").heldTokens == 0);
}

TEST_CASE_FIXTURE(Fixture, "requests that state no parts are placed as without held prompts")
{
    send("b", "session:3000,one:10");
    const auto without = makeFirstBytesPlacer(topology, directory, health, fleet, limiter);
    PlacementRequest request;
    request.service = service;
    request.latencyObjective = 600ms;
    CHECK(place("").heldTokens == 0);
    CHECK_FALSE(place("").isForHeldPrompt);
    CHECK(without->place(request, clock.now()).outcome == PlacementOutcome::Placed);
}

TEST_CASE("nothing is saved at services whose memory isn't stated, and without a reuse window")
{
    ServingConfiguration configuration;
    configuration.services.push_back({service, 0, true, 0});
    PromptSavings unknown {5s};
    unknown.configure(configuration);
    CHECK_FALSE(unknown.isPossible(service));
    configuration.services.front().memoryTokens = 1000;
    PromptSavings off {0s};
    off.configure(configuration);
    CHECK_FALSE(off.isPossible(service));
}

TEST_CASE("an engine is never chosen for a beginning whose time is shorter than the wait there")
{
    CHECK(rc::check([] {
        Fixture fixture;
        const auto tokens = *rc::gen::inRange(1, 4000);
        const auto parts = "p:" + std::to_string(tokens);
        fixture.send("b", parts);
        const auto busy = *rc::gen::inRange(0, 8);
        for (int n = 0; n < busy; ++n) {
            fixture.send("b");
        }
        const auto placement = fixture.place(parts);
        if (placement.isForHeldPrompt) {
            const auto idle = fixture.place("other:1");
            const auto saved = std::chrono::microseconds(25) * tokens;
            RC_ASSERT(placement.expected <= idle.expected + saved);
        }
    }));
}
