#include "monsoonward/dispatch/dispatch.h"

#include <doctest/doctest.h>

#include <set>

using namespace monsoonward;
using namespace std::chrono_literals;

TEST_CASE("a limit holds while the run of the engine states it, and changes with its statements")
{
    VirtualClock clock;
    EngineLimits limits;
    CHECK_FALSE(limits.record(1, std::nullopt, clock.now()));
    CHECK(limits.isEmpty());
    CHECK(limits.record(1, 5.5, clock.now()));
    CHECK_FALSE(limits.record(1, 5.5, clock.now()));
    CHECK(limits.limitOf(1) == 5.5);
    CHECK_FALSE(limits.limitOf(2)); // the next run of the engine
    clock.advance(2s);
    CHECK(limits.ageOf(1, clock.now()) == Duration(2s));
    CHECK(limits.record(1, 7.0, clock.now()));
    CHECK(limits.ageOf(1, clock.now()) == Duration::zero());
    CHECK(limits.record(1, std::nullopt, clock.now()));
    CHECK_FALSE(limits.limitOf(1));
    CHECK_FALSE(limits.isEmpty());
    clock.advance(EngineLimits::statementLifetime + 1ms);
    limits.expire(clock.now());
    CHECK(limits.isEmpty());
}

TEST_CASE("gateways tell each other what engines have stated to themselves, and the newest statement counts")
{
    VirtualClock clock;
    EngineLimits one;
    EngineLimits other;
    one.record(1, 5.0, clock.now());
    clock.advance(100ms);
    CHECK(other.addReport(one.report(clock.now()), clock.now()).size() == 1);
    CHECK(other.limitOf(1) == 5.0);
    CHECK(other.ageOf(1, clock.now()) == Duration(100ms));
    CHECK(other.report(clock.now()).empty()); // passed on only by the gateway that got the response
    clock.advance(50ms);
    CHECK(other.record(1, 3.0, clock.now()));
    CHECK(other.addReport(one.report(clock.now()), clock.now()).empty());
    CHECK(other.limitOf(1) == 3.0);
    CHECK(other.record(1, std::nullopt, clock.now()));
    CHECK(one.addReport(other.report(clock.now()), clock.now()).size() == 1);
    CHECK_FALSE(one.limitOf(1));
}

TEST_CASE("a lifted limit expires although the engine goes on stating none")
{
    VirtualClock clock;
    EngineLimits limits;
    limits.record(1, 5.0, clock.now());
    limits.record(1, std::nullopt, clock.now());
    clock.advance(EngineLimits::statementLifetime);
    limits.record(1, std::nullopt, clock.now());
    clock.advance(1ms);
    limits.expire(clock.now());
    CHECK(limits.isEmpty());
}

TEST_CASE("many statements are reported in turn, and no more than a maximum is kept")
{
    VirtualClock clock;
    EngineLimits limits;
    for (EngineRun run = 1; run <= EngineLimits::maxRuns + 10; ++run) {
        limits.record(run, 1.0, clock.now());
    }
    std::set<EngineRun> reported;
    for (std::size_t n = 0; n < EngineLimits::maxRuns / EngineLimits::maxReported; ++n) {
        const auto statements = limits.report(clock.now());
        CHECK(statements.size() == EngineLimits::maxReported);
        for (const auto &it : statements) {
            reported.insert(it.run);
        }
    }
    CHECK(reported.size() == EngineLimits::maxRuns);
}

TEST_CASE("a malformed limit changes nothing and is news once")
{
    VirtualClock clock;
    EngineLimits limits;
    limits.record(1, 5.0, clock.now());
    CHECK(limits.recordMalformed(1, clock.now()));
    CHECK_FALSE(limits.recordMalformed(1, clock.now()));
    CHECK(limits.limitOf(1) == 5.0);
}
