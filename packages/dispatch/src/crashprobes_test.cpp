#include "monsoonward/dispatch/dispatch.h"

#include <doctest/doctest.h>

using namespace monsoonward;
using namespace std::chrono_literals;

namespace
{

using Traits = std::vector<RequestTrait>;

constexpr RequestTrait part = 7; // of many requests

/// @return the traits of a request with the part; each number stands for another request
Traits request(RequestTrait number)
{
    return {1000 + number, part};
}

struct Fixture
{
    /// Engine runs end at one moment, each with another request in progress.
    void crashAtOnce(EngineRun first, std::size_t count = 3)
    {
        for (EngineRun run = first; run < first + count; ++run) {
            suspects.crashObserved(request(run), run, clock.now());
            suspects.engineRefusedConnection(run, clock.now());
        }
    }
    std::optional<Duration> probeAllowedIn(const Traits &traits) const
    {
        return suspects.probeAllowedIn(traits, clock.now());
    }
    bool isRefused(const Traits &traits) const
    {
        return suspects.refusedFor(traits, clock.now()).has_value();
    }

    VirtualClock clock;
    CrashSuspects suspects;
};

} // namespace

// All requests with a part were refused for minutes after engines had crashed for another reason.
TEST_CASE_FIXTURE(Fixture,
                  "a part that completed before is probed a second after the crashes, and cleared by a success")
{
    suspects.requestCompleted(request(1), clock.now());
    crashAtOnce(1, 12);
    REQUIRE(isRefused(request(50)));
    CHECK(probeAllowedIn(request(50)) == CrashSuspects::shortProbePause);
    CHECK(suspects.retryIn(request(50), clock.now()) == CrashSuspects::shortProbePause);
    clock.advance(CrashSuspects::shortProbePause);
    REQUIRE(probeAllowedIn(request(50)) == Duration::zero());
    suspects.probeStarted(request(50), clock.now());
    CHECK(probeAllowedIn(request(51)) == CrashSuspects::probeTimeout); // one at a time
    suspects.requestCompleted(request(50), clock.now());
    CHECK_FALSE(isRefused(request(51)));
}

TEST_CASE_FIXTURE(Fixture, "a part that never completed is probed later")
{
    crashAtOnce(1);
    CHECK(probeAllowedIn(request(50)) == CrashSuspects::longProbePause);
    CHECK(suspects.retryIn(request(50), clock.now()) == CrashSuspects::refusalTime);
}

TEST_CASE_FIXTURE(Fixture, "each failed probe doubles the pause until the next one")
{
    suspects.requestCompleted(request(1), clock.now());
    crashAtOnce(1);
    auto pause = CrashSuspects::shortProbePause;
    for (EngineRun run = 10; run < 16; ++run) {
        CHECK(probeAllowedIn(request(50)) == pause);
        clock.advance(pause);
        suspects.probeStarted(request(run), clock.now());
        crashAtOnce(run, 1);
        pause *= 2;
    }
    CHECK(probeAllowedIn(request(50)) == pause);
}

TEST_CASE_FIXTURE(Fixture, "a probe that isn't sent or doesn't end keeps others back for a limited time")
{
    suspects.requestCompleted(request(1), clock.now());
    crashAtOnce(1);
    clock.advance(5s);
    suspects.probeStarted(request(50), clock.now());
    suspects.probeNotSent(request(50), clock.now());
    CHECK(probeAllowedIn(request(51)) == Duration::zero());
    suspects.probeStarted(request(51), clock.now());
    clock.advance(CrashSuspects::probeTimeout);
    CHECK(probeAllowedIn(request(52)) == Duration::zero());
}

TEST_CASE_FIXTURE(Fixture, "a request that was in progress at several crashes and never completed is no probe")
{
    suspects.requestCompleted({part}, clock.now());
    for (EngineRun run = 1; run <= 3; ++run) {
        suspects.crashObserved(request(5), run, clock.now());
        suspects.crashObserved(request(run), run, clock.now());
        suspects.engineRefusedConnection(run, clock.now());
    }
    clock.advance(1min);
    CHECK_FALSE(probeAllowedIn(request(5)));
    CHECK(probeAllowedIn(request(1)) == Duration::zero()); // in progress at one crash
}

TEST_CASE_FIXTURE(Fixture, "an identical request that completed before is a probe a limited number of times")
{
    const Traits identical {5};
    suspects.requestCompleted(identical, clock.now());
    for (EngineRun run = 1; run <= 3; ++run) {
        suspects.crashObserved(identical, run, clock.now());
        suspects.engineRefusedConnection(run, clock.now());
    }
    unsigned probes = 0;
    for (EngineRun run = 4; probeAllowedIn(identical) && run < 20; ++run) {
        clock.advance(*probeAllowedIn(identical));
        suspects.probeStarted(identical, clock.now());
        suspects.crashObserved(identical, run, clock.now());
        ++probes;
    }
    CHECK(probes == 3);
}

TEST_CASE_FIXTURE(Fixture, "a gateway that learns of the crashes from another one knows what completed here")
{
    suspects.requestCompleted(request(1), clock.now());
    CrashReport report;
    for (EngineRun run = 1; run <= 3; ++run) {
        report.crashes.push_back({part, run, {}, false, true, false});
    }
    suspects.addReport(report, clock.now());
    REQUIRE(isRefused(request(50)));
    CHECK(probeAllowedIn(request(50)) == CrashSuspects::shortProbePause);
}

TEST_CASE_FIXTURE(Fixture, "completions of parts that come often are remembered among many others")
{
    for (RequestTrait n = 0; n < 20000; ++n) {
        suspects.requestCompleted(request(n), clock.now());
    }
    crashAtOnce(1);
    CHECK(probeAllowedIn(request(30000)) == CrashSuspects::shortProbePause);
}
