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

TEST_CASE("an engine that asked for a pause gets nothing until it ends, even if an earlier request succeeds")
{
    VirtualClock clock;
    EngineHealth health;
    const EngineName engine("e");
    health.recordRequestedPause(engine, 1500ms, clock.now());
    health.recordSuccess(engine); // a request that was sent before the rejection
    CHECK_FALSE(health.isAvailable(engine, clock.now() + 1499ms));
    CHECK(health.pausedUntil(engine) == clock.now() + 1500ms);
    clock.advance(1500ms);
    CHECK(health.isAvailable(engine, clock.now()));
    health.recordRequestedPause(engine, 1s, clock.now());
    clock.advance(1s);
    health.recordAttempt(engine, clock.now());
    CHECK_FALSE(health.isAvailable(engine, clock.now())); // one probe at a time
    health.recordSuccess(engine);
    CHECK(health.isAvailable(engine, clock.now()));
    CHECK(health.failureRate(engine) > 0.3); // its load is restored gradually
}

TEST_CASE("unreasonable pauses are bounded, and a shorter one does not end a longer one")
{
    VirtualClock clock;
    EngineHealth health;
    const EngineName engine("e");
    health.recordRequestedPause(engine, Duration::max(), clock.now());
    CHECK(health.isAvailable(engine, clock.now() + EngineHealth::maxRequestedPause));
    health.recordRequestedPause(engine, -1s, clock.now());
    CHECK_FALSE(health.isAvailable(engine, clock.now() + EngineHealth::maxRequestedPause - 1ms));
}
