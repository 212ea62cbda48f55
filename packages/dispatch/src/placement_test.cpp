#include "monsoonward/dispatch/dispatch.h"

#include <doctest/doctest.h>

#include <array>

using namespace monsoonward;
using namespace std::chrono_literals;

namespace
{

const ServiceName service("model");

struct Fixture
{
    Fixture()
    {
        topology.ownDataCentre = DataCentreName("here");
        topology.regions = {{DataCentreName("here"), RegionName("r1")},
                            {DataCentreName("near"), RegionName("r1")},
                            {DataCentreName("far"), RegionName("r2")}};
        placer = makeFirstBytesPlacer(topology, directory, health, fleet, limiter);
    }

    void addEngine(const std::string &name, const std::string &dataCentre, std::uint32_t slots = 5)
    {
        directory.put({EngineName(name), service, {"10.0.0.1", 80}, DataCentreName(dataCentre), slots, false});
    }

    static PlacementRequest requestOf(unsigned tier)
    {
        PlacementRequest request;
        request.service = service;
        request.tier = Tier(tier);
        request.latencyObjective = 400ms;
        request.timeLeft = 4s;
        return request;
    }

    /// Sends as many requests like this one to engine "a" as are admitted there.
    /// @return their number, at most 100
    unsigned admit(const PlacementRequest &request) const
    {
        unsigned admitted = 0;
        while (placer->place(request, clock.now()).outcome == PlacementOutcome::Placed && admitted < 100) {
            placer->requestSent(EngineName("a"), clock.now());
            ++admitted;
        }
        return admitted;
    }

    Placement place(unsigned tier) const
    {
        const auto request = requestOf(tier);
        auto placement = placer->place(request, clock.now());
        if (placement.outcome == PlacementOutcome::Placed) {
            placer->requestSent(placement.engine.name, clock.now());
        }
        return placement;
    }

    /// Teaches the placer the times of these engines: 60 ms up to 5 requests, then 40 ms more for each queued request;
    /// all multiplied by @p slowness.
    void teachTimes(const std::vector<std::string> &engines, int slowness) const
    {
        for (unsigned n = 0; n < 400; ++n) {
            const unsigned inProgress = n % 18;
            const auto length = slowness * (60ms + (inProgress > 5 ? (inProgress - 5) * 40ms : 0ms));
            for (const auto &it : engines) {
                placer->firstBytesReceived(*directory.find(EngineName(it)), inProgress / 5.0, length, clock.now());
            }
        }
    }

    VirtualClock clock;
    Topology topology;
    EngineDirectory directory;
    EngineHealth health;
    FleetView fleet {HostName("own")};
    EngineLimits limits;
    LimitDivision division {topology, HostName("own"), fleet};
    EngineLimiter limiter {limits, division};
    std::unique_ptr<Placer> placer;
};

} // namespace

TEST_CASE_FIXTURE(Fixture, "the nearest engine is chosen until load makes a farther one faster")
{
    addEngine("far", "far");
    addEngine("near", "near");
    addEngine("here", "here");
    teachTimes({"far", "near", "here"}, 1);
    CHECK(place(0).engine.name == EngineName("here"));
    std::map<std::string, unsigned> placed;
    for (unsigned n = 0; n < 20; ++n) {
        ++placed[place(0).engine.name.text()];
    }
    CHECK(placed["near"] > 3);
    CHECK(placed["far"] > 3);
}

TEST_CASE_FIXTURE(Fixture, "a burst of less urgent requests leaves capacity for more urgent ones")
{
    addEngine("a", "here");
    addEngine("b", "here");
    teachTimes({"a", "b"}, 1);
    for (unsigned n = 0; n < 200; ++n) { // establishes the mix of tiers
        if (place(0).outcome == PlacementOutcome::Placed) {
            placer->requestEnded(EngineName("a"));
            placer->requestEnded(EngineName("b"));
        }
    }
    unsigned admitted = 0;
    for (unsigned n = 0; n < 60; ++n) {
        admitted += place(1).outcome == PlacementOutcome::Placed ? 1 : 0;
    }
    CHECK(admitted > 5);
    CHECK(place(1).outcome == PlacementOutcome::Full);
    for (unsigned n = 0; n < 4; ++n) {
        CHECK(place(0).outcome == PlacementOutcome::Placed);
    }
}

TEST_CASE_FIXTURE(Fixture, "in a burst, requests that would start too late are refused with a retry time")
{
    addEngine("a", "here");
    teachTimes({"a"}, 1);
    unsigned admitted = 0;
    Placement refused;
    for (unsigned n = 0; n < 60; ++n) {
        const auto placement = place(0);
        if (placement.outcome == PlacementOutcome::Placed) {
            ++admitted;
            CHECK(placement.expected <= 400ms);
        } else {
            refused = placement;
        }
    }
    CHECK(admitted >= 5);
    CHECK(admitted < 15);
    CHECK(refused.outcome == PlacementOutcome::Full);
    CHECK(refused.retryAfter >= 100ms);
    CHECK(refused.retryAfter <= 4000ms / 3);
}

TEST_CASE_FIXTURE(Fixture, "the only tier of a service is treated as the most urgent one")
{
    addEngine("a", "here", 6);
    unsigned admitted = 0;
    for (unsigned n = 0; n < 30; ++n) {
        admitted += place(2).outcome == PlacementOutcome::Placed ? 1 : 0;
    }
    CHECK(admitted > 6);
}

TEST_CASE_FIXTURE(Fixture, "the load from other daemons counts, and the faster engine gets more requests")
{
    addEngine("slow", "here");
    addEngine("fast", "here");
    teachTimes({"slow"}, 3);
    teachTimes({"fast"}, 1);
    fleet.setMembers({HostName("own"), HostName("other")}, clock.now());
    fleet.addReport({HostName("other"), 1, 1, {{EngineName("fast"), 15}}, {}, {}}, clock.now());
    CHECK(place(0).engine.name == EngineName("slow"));
    placer->requestEnded(EngineName("slow"));
    fleet.addReport({HostName("other"), 1, 2, {}, {}, {}}, clock.now());
    unsigned fast = 0;
    for (unsigned n = 0; n < 6; ++n) {
        fast += place(0).engine.name == EngineName("fast") ? 1 : 0;
        placer->loadReported(clock.now());
    }
    CHECK(fast >= 5);
}

TEST_CASE_FIXTURE(Fixture, "a burst between two load reports is distributed over the engines")
{
    addEngine("a", "here");
    addEngine("b", "here");
    teachTimes({"a", "b"}, 1);
    fleet.setMembers({HostName("own"), HostName("x"), HostName("y"), HostName("z")}, clock.now());
    std::map<std::string, unsigned> placed;
    unsigned refused = 0;
    for (unsigned n = 0; n < 10; ++n) {
        const auto placement = place(1);
        ++placed[placement.engine.name.text()];
        refused += placement.outcome == PlacementOutcome::Full ? 1 : 0;
    }
    CHECK(refused > 0); // the placer assumes that each of the other three daemons places as many
    CHECK(placed["a"] >= 2);
    CHECK(placed["b"] >= 2);
    placer->loadReported(clock.now());
    CHECK(place(1).outcome == PlacementOutcome::Placed);
}

TEST_CASE_FIXTURE(Fixture, "in a large fleet, requests that ended between two reports don't count as load")
{
    std::vector<HostName> hosts {HostName("own")};
    for (unsigned n = 0; n < 21; ++n) {
        hosts.emplace_back("other-" + std::to_string(n));
    }
    fleet.setMembers(hosts, clock.now());
    for (const auto *it : {"a", "b", "c", "d", "e", "f"}) {
        addEngine(it, "here", 6);
    }
    teachTimes({"a", "b", "c", "d", "e", "f"}, 1);
    // 50 requests per second of 20 ms each, and a load report every 200 ms.
    for (unsigned n = 0; n < 500; ++n) {
        const auto placement = place(0);
        REQUIRE(placement.outcome == PlacementOutcome::Placed);
        clock.advance(20ms);
        placer->requestEnded(placement.engine.name);
        if (n % 10 == 9) {
            placer->loadReported(clock.now());
        }
    }
}

TEST_CASE_FIXTURE(Fixture, "a request sent again after a refusal is admitted before new ones of its tier")
{
    addEngine("a", "here");
    teachTimes({"a"}, 1);
    for (unsigned n = 0; n < 200; ++n) {
        place(0);
        placer->requestEnded(EngineName("a"));
    }
    // Each request changes the mix of tiers slightly, so a refusal may be followed by an admission.
    for (unsigned refused = 0; refused < 5;) {
        refused = place(1).outcome == PlacementOutcome::Placed ? 0 : refused + 1;
    }
    PlacementRequest request;
    request.service = service;
    request.tier = Tier(1);
    request.latencyObjective = 400ms;
    CHECK(placer->place(request, clock.now()).outcome == PlacementOutcome::Full);
    request.isResend = true;
    CHECK(placer->place(request, clock.now()).outcome == PlacementOutcome::Placed);
}

TEST_CASE_FIXTURE(Fixture, "engines that fail aren't chosen, and without a usable engine nothing is placed")
{
    CHECK(place(0).outcome == PlacementOutcome::NoEngine);
    addEngine("a", "here");
    addEngine("b", "here");
    for (unsigned n = 0; n < 3; ++n) {
        health.recordFailure(EngineName("a"), clock.now());
    }
    CHECK(place(0).engine.name == EngineName("b"));
    for (unsigned n = 0; n < 3; ++n) {
        health.recordFailure(EngineName("b"), clock.now());
    }
    CHECK(place(0).outcome == PlacementOutcome::NoEngine);
}

TEST_CASE_FIXTURE(Fixture,
                  "while all engines have asked for a pause, callers are told to return when the first one ends")
{
    addEngine("a", "here");
    addEngine("b", "here");
    health.recordRequestedPause(EngineName("a"), 800ms, clock.now());
    health.recordRequestedPause(EngineName("b"), 600ms, clock.now());
    CHECK(place(0).outcome == PlacementOutcome::NoEngine);
    CHECK(place(0).retryAfter == 600ms);
    health.recordRequestedPause(EngineName("b"), 1min, clock.now());
    health.recordRequestedPause(EngineName("a"), 1min, clock.now());
    CHECK(place(0).retryAfter <= 4000ms / 3); // a third of the time that the caller has left
}

TEST_CASE_FIXTURE(Fixture, "engines that another daemon was told are leaving are chosen only if there is no other")
{
    addEngine("a", "here");
    addEngine("b", "here");
    fleet.setMembers({HostName("other")}, clock.now());
    LoadReport report {HostName("other"), 1, 1, {}, {}, {}};
    report.leavingEngines = {EngineName("a")};
    fleet.addReport(report, clock.now());
    for (unsigned n = 0; n < 4; ++n) {
        CHECK(place(0).engine.name == EngineName("b"));
    }
    report.sequenceNumber = 2;
    report.leavingEngines.insert(EngineName("b"));
    fleet.addReport(report, clock.now());
    CHECK(place(0).outcome == PlacementOutcome::Placed);
}

TEST_CASE_FIXTURE(Fixture, "an engine at the limit that it states gets no requests, and others take them")
{
    addEngine("a", "here");
    addEngine("b", "near");
    limits.record(runOf(*directory.find(EngineName("a"))), 1.0, clock.now());
    for (unsigned n = 0; n < 5; ++n) {
        CHECK(place(0).engine.name == EngineName("b"));
    }
    clock.advance(1s);
    std::map<std::string, unsigned> placed;
    for (unsigned n = 0; n < 5; ++n) {
        const auto placement = place(0);
        ++placed[placement.engine.name.text()];
        limiter.requestSent(placement.engine, clock.now());
        CHECK(placement.allowance.has_value() == (placement.engine.name == EngineName("a")));
    }
    CHECK(placed["a"] == 1);
    CHECK(placed["b"] == 4);
}

TEST_CASE_FIXTURE(Fixture, "callers that all engines' limits refuse are told to return at the rate of the limits")
{
    addEngine("a", "here");
    addEngine("b", "here");
    limits.record(runOf(*directory.find(EngineName("a"))), 4.0, clock.now());
    limits.record(runOf(*directory.find(EngineName("b"))), 1.0, clock.now());
    Duration last {};
    for (int n = 1; n <= 5; ++n) {
        const auto placement = place(0);
        REQUIRE(placement.outcome == PlacementOutcome::Limited);
        REQUIRE(placement.allowance);
        CHECK(placement.retryAfter > last);
        CHECK(std::chrono::duration<double>(placement.retryAfter).count() == doctest::Approx(n * 0.2));
        last = placement.retryAfter;
    }
    for (unsigned n = 0; n < 100; ++n) {
        CHECK(place(0).retryAfter <= 1334ms); // a third of the time left
    }
}

TEST_CASE_FIXTURE(Fixture, "an engine that pauses or was tried before is not held for limited")
{
    addEngine("a", "here");
    limits.record(runOf(*directory.find(EngineName("a"))), 1.0, clock.now());
    health.recordRequestedPause(EngineName("a"), 1s, clock.now());
    CHECK(place(0).outcome == PlacementOutcome::NoEngine);
}

TEST_CASE_FIXTURE(Fixture, "more urgent requests get what the limits of all engines allow")
{
    addEngine("a", "here");
    addEngine("b", "here");
    for (const auto *it : {"a", "b"}) {
        limits.record(runOf(*directory.find(EngineName(it))), 10.0, clock.now());
    }
    std::array<unsigned, 2> placed {};
    for (unsigned n = 0; n < 2000; ++n) { // 50 requests of each tier per second
        clock.advance(10ms);
        const auto placement = place(n % 2);
        if (placement.outcome == PlacementOutcome::Placed) {
            ++placed[n % 2];
            limiter.requestSent(placement.engine, clock.now());
            placer->requestEnded(placement.engine.name);
        }
    }
    CHECK(placed[0] + placed[1] > 380);
    CHECK(placed[0] > 4 * placed[1]);
}

// Requests that limited engines don't take went to an engine that other gateways know to be leaving.
TEST_CASE_FIXTURE(Fixture, "an engine that is reported to be leaving doesn't get what limited engines can't take")
{
    addEngine("a", "here");
    addEngine("leaving", "here");
    fleet.setMembers({HostName("own"), HostName("other")}, clock.now());
    LoadReport report;
    report.host = HostName("other");
    report.incarnation = 1;
    report.sequenceNumber = 1;
    report.leavingEngines = {EngineName("leaving")};
    fleet.addReport(report, clock.now());
    CHECK(place(0).engine.name == EngineName("a"));
    limits.record(runOf(*directory.find(EngineName("a"))), 1.0, clock.now());
    CHECK(place(0).outcome == PlacementOutcome::Limited);
}

TEST_CASE_FIXTURE(Fixture,
                  "a request that goes on with a stream gets an engine of its build, also when others are faster")
{
    addEngine("a", "far");
    addEngine("b", "here");
    auto record = *directory.find(EngineName("a"));
    record.softwareVersion = "v2";
    directory.put(record);
    auto request = requestOf(0);
    request.build = buildOf(record);
    CHECK(placer->place(request, clock.now()).engine.name == EngineName("a"));
    record.isLeaving = true;
    directory.put(record);
    CHECK(placer->place(request, clock.now()).outcome == PlacementOutcome::NoEngine);
}

// Streams ended at gateways because new ones weren't admitted at the engines of their version.
TEST_CASE_FIXTURE(Fixture, "engines of an excluded build get no request")
{
    addEngine("a", "here");
    addEngine("b", "here");
    auto record = *directory.find(EngineName("a"));
    record.softwareVersion = "v2";
    directory.put(record);
    auto request = requestOf(0);
    request.excludedBuilds = {buildOf(record)};
    CHECK(placer->place(request, clock.now()).engine.name == EngineName("b"));
    request.excludedBuilds.push_back(buildOf(*directory.find(EngineName("b"))));
    CHECK(placer->place(request, clock.now()).outcome == PlacementOutcome::NoEngine);
}

TEST_CASE_FIXTURE(Fixture, "a request that goes on with a stream is admitted at engines too loaded for new requests")
{
    addEngine("a", "here");
    teachTimes({"a"}, 1);
    while (place(0).outcome == PlacementOutcome::Placed) { }
    auto request = requestOf(0);
    request.build = buildOf(*directory.find(EngineName("a")));
    const auto admitted = admit(request);
    CHECK(admitted > 0);
    CHECK(admitted < 20); // the engine refuses what exceeds its own queue
}

// Such a request failed, since it can't be refused as not run, although an engine would have taken it.
TEST_CASE_FIXTURE(Fixture, "a request that may have run is admitted at engines too loaded for new requests")
{
    addEngine("a", "here");
    teachTimes({"a"}, 1);
    while (place(0).outcome == PlacementOutcome::Placed) { }
    auto request = requestOf(0);
    request.isRetry = true;
    CHECK(placer->place(request, clock.now()).outcome == PlacementOutcome::Full);
    request.mayHaveRun = true;
    const auto admitted = admit(request);
    CHECK(admitted > 0);
    CHECK(admitted < 20);
}
