#include "monsoonward/dispatch/dispatch.h"

#include <doctest/doctest.h>

using namespace monsoonward;
using namespace std::chrono_literals;

TEST_CASE("a risen era is a restore, an answer of a lower one is from before it")
{
    VirtualClock clock;
    StoreEraTracker eras;
    CHECK(eras.current() == 0);
    CHECK(eras.observe(4, clock.now()) == EraChange::None);
    CHECK_FALSE(eras.restoredAt());
    CHECK(eras.observe(5, clock.now()) == EraChange::Restored);
    CHECK(eras.observe(4, clock.now()) == EraChange::Former);
    CHECK(eras.observe(5, clock.now()) == EraChange::None);
    CHECK(eras.restoredAt() == clock.now());
}

TEST_CASE("a store that states only lower eras for long is taken to be restored")
{
    VirtualClock clock;
    StoreEraTracker eras;
    eras.observe(1'000'000, clock.now()); // by error
    CHECK(eras.observe(6, clock.now()) == EraChange::Former);
    clock.advance(StoreEraTracker::formerEraTimeout - 1ms);
    CHECK(eras.observe(6, clock.now()) == EraChange::Former);
    clock.advance(1ms);
    CHECK(eras.observe(6, clock.now()) == EraChange::Restored);
    CHECK(eras.current() == 6);
}

TEST_CASE("a time of the store's clock is never converted to a later time than the true one")
{
    VirtualClock clock;
    StoreClock storeClock;
    CHECK_FALSE(storeClock.earliest(1, 5000, clock.now()));
    const auto zero = clock.now() - 5s; // the store's clock showed 0 then
    const auto isJustBefore = [](std::optional<TimePoint> found, TimePoint expected) {
        return found && *found <= expected && *found > expected - 1ms; // less the drift allowed for
    };
    storeClock.observe(1, 5000, clock.now() - 300ms); // a slow call: the store read its clock 300 ms after its start
    CHECK(isJustBefore(storeClock.earliest(1, 5000, clock.now()), zero + 5s - 300ms));
    storeClock.observe(1, 5000, clock.now() - 2ms);
    CHECK(isJustBefore(storeClock.earliest(1, 5000, clock.now()), zero + 5s - 2ms));
    storeClock.observe(1, 5000, clock.now() - 200ms); // a worse observation changes nothing
    CHECK(isJustBefore(storeClock.earliest(1, 4000, clock.now()), zero + 4s - 2ms));
    CHECK_FALSE(storeClock.earliest(2, 5000, clock.now()));
    clock.advance(100s); // the clocks may have drifted apart
    CHECK(storeClock.earliest(1, 5000, clock.now()) <= zero + 5s - 100ms);
    storeClock.observe(2, 10, clock.now()); // a restored store may have started its clock again
    CHECK(storeClock.earliest(2, 10, clock.now()) == clock.now());
}
