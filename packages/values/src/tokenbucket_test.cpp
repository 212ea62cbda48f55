#include "monsoonward/values/tokenbucket.h"

#include <doctest/doctest.h>

using namespace monsoonward;
using namespace std::chrono_literals;

TEST_CASE("a token bucket grows from empty up to its size, also after it was overdrawn")
{
    VirtualClock clock;
    TokenBucket bucket(clock.now());
    clock.advance(500ms);
    bucket.refill(2, 3, clock.now());
    CHECK(bucket.level() == doctest::Approx(1));
    bucket.take(2);
    CHECK(bucket.level() == doctest::Approx(-1));
    clock.advance(10s);
    bucket.refill(2, 3, clock.now());
    CHECK(bucket.level() == doctest::Approx(3));
    bucket.limitTo(1);
    bucket.giveBack(0.5);
    CHECK(bucket.level() == doctest::Approx(1.5));
}

TEST_CASE("the level of a token bucket can be looked up without a change")
{
    VirtualClock clock;
    const TokenBucket bucket(clock.now(), 3);
    CHECK(bucket.levelAt(1, 5, clock.now() + 1s) == doctest::Approx(4));
    CHECK(bucket.levelAt(1, 5, clock.now() + 9s) == doctest::Approx(5));
    CHECK(bucket.level() == doctest::Approx(3));
}
