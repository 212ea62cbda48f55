#include "retryspread.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

using namespace monsoonward;

TEST_CASE("the resends of many refused callers are spread over time")
{
    VirtualClock clock;
    SeededRandom random(1);
    RetryAfterCalculator retries(clock, random);
    for (int n = 0; n < 100; ++n) {
        clock.advance(std::chrono::milliseconds(100));
        retries.onCompleted();
    }
    std::vector<Duration> delays;
    delays.reserve(200);
    for (int n = 0; n < 200; ++n) {
        delays.push_back(retries.retryAfter());
    }
    std::sort(delays.begin(), delays.end());
    CHECK(delays.front() >= std::chrono::milliseconds(500));
    CHECK(delays.back() - delays.front() > std::chrono::seconds(60));
}

TEST_CASE("a single refused caller may resend soon")
{
    VirtualClock clock;
    SeededRandom random(1);
    RetryAfterCalculator retries(clock, random);
    for (int n = 0; n < 100; ++n) {
        clock.advance(std::chrono::milliseconds(100));
        retries.onCompleted();
    }
    CHECK(retries.retryAfter() <= std::chrono::milliseconds(1700));
}
