#include "monsoonward/dispatch/dispatch.h"

#include <doctest/doctest.h>

using namespace monsoonward;
using namespace std::chrono_literals;

TEST_CASE("keys and denials have separate maximum ages")
{
    VirtualClock clock;
    Freshness freshness({4700ms, 2500ms});
    CHECK_FALSE(freshness.mayAcceptKeys(clock.now()));
    CHECK_FALSE(freshness.age(clock.now()));
    freshness.recordProof(clock.now());
    clock.advance(2400ms);
    CHECK(freshness.mayDeny(clock.now()));
    clock.advance(200ms);
    CHECK_FALSE(freshness.mayDeny(clock.now()));
    CHECK(freshness.mayAcceptKeys(clock.now()));
    clock.advance(6s); // suspended
    CHECK_FALSE(freshness.mayAcceptKeys(clock.now()));
}

TEST_CASE("the age of a proof counts from the start of its call, and an older proof has no effect")
{
    VirtualClock clock;
    Freshness freshness({4700ms, 2500ms});
    const auto early = clock.now();
    clock.advance(1s);
    freshness.recordProof(clock.now());
    freshness.recordProof(early);
    clock.advance(4s);
    CHECK(freshness.age(clock.now()) == Duration(4s));
    CHECK(freshness.mayAcceptKeys(clock.now()));
}
