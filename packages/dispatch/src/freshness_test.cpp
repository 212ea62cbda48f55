#include "monsoonward/dispatch/dispatch.h"

#include <doctest/doctest.h>

using namespace monsoonward;
using namespace std::chrono_literals;

TEST_CASE("a process that was suspended trusts no proof older than its gap")
{
    VirtualClock clock;
    Freshness freshness({4700ms, 2500ms});
    CHECK_FALSE(freshness.allowsKeys(clock.now()));
    CHECK_FALSE(freshness.age(clock.now()));
    freshness.proved(clock.now());
    clock.advance(2400ms);
    CHECK(freshness.allowsDenials(clock.now()));
    clock.advance(200ms);
    CHECK_FALSE(freshness.allowsDenials(clock.now()));
    CHECK(freshness.allowsKeys(clock.now()));
    clock.advance(6s); // suspended
    CHECK_FALSE(freshness.allowsKeys(clock.now()));
}

TEST_CASE("a proof counts from the start of its call, and an older one changes nothing")
{
    VirtualClock clock;
    Freshness freshness({4700ms, 2500ms});
    const auto early = clock.now();
    clock.advance(1s);
    freshness.proved(clock.now());
    freshness.proved(early);
    clock.advance(4s);
    CHECK(freshness.age(clock.now()) == Duration(4s));
    CHECK(freshness.allowsKeys(clock.now()));
}
