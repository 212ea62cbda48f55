#include "monsoonward/dispatch/dispatch.h"

#include <doctest/doctest.h>

using namespace monsoonward;
using namespace std::chrono_literals;

TEST_CASE("after consecutive failures an engine is paused, then probed by one request at a time")
{
    VirtualClock clock;
    EngineHealth health;
    const EngineName engine("e");
    CHECK(health.isAvailable(engine, clock.now()));
    CHECK_FALSE(health.recordFailure(engine, clock.now()));
    CHECK(health.isAvailable(engine, clock.now()));
    CHECK(health.recordFailure(engine, clock.now()));
    CHECK_FALSE(health.isAvailable(engine, clock.now()));
    clock.advance(EngineHealth::initialPause);
    CHECK(health.isAvailable(engine, clock.now()));
    health.recordAttempt(engine, clock.now());
    CHECK_FALSE(health.isAvailable(engine, clock.now()));
    clock.advance(1s);
    CHECK(health.isAvailable(engine, clock.now())); // the probe got no result
    health.recordFailure(engine, clock.now());
    CHECK_FALSE(health.isAvailable(engine, clock.now() + EngineHealth::initialPause));
    health.recordSuccess(engine);
    CHECK(health.isAvailable(engine, clock.now()));
    CHECK(health.failureRate(engine) > 0);
    health.forget(engine);
    CHECK(health.failureRate(engine) == 0);
}

TEST_CASE("an engine that stays down is probed every few seconds")
{
    VirtualClock clock;
    EngineHealth health;
    const EngineName engine("e");
    for (unsigned n = 0; n < 40; ++n) {
        health.recordFailure(engine, clock.now());
    }
    CHECK(health.isAvailable(engine, clock.now() + EngineHealth::maxPause));
}
