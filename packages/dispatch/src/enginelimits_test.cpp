#include "monsoonward/dispatch/dispatch.h"

#include <doctest/doctest.h>

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
