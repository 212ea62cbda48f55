#include "retryspread.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

using namespace monsoonward;

TEST_CASE("resends of many refused callers come spread and slower than the entry completes")
{
    VirtualClock clock;
    SeededRandom random(1);
    RetrySpread retries(clock, random);
    for (int n = 0; n < 100; ++n) {
        clock.advance(std::chrono::milliseconds(100));
        retries.completed();
    }
    std::vector<Duration> waits;
    waits.reserve(200);
    for (int n = 0; n < 200; ++n) {
        waits.push_back(retries.retryAfter());
    }
    std::sort(waits.begin(), waits.end());
    CHECK(waits.front() >= std::chrono::milliseconds(500));
    CHECK(waits.back() - waits.front() > std::chrono::seconds(60));
}

TEST_CASE("a lone refused caller may come back soon")
{
    VirtualClock clock;
    SeededRandom random(1);
    RetrySpread retries(clock, random);
    for (int n = 0; n < 100; ++n) {
        clock.advance(std::chrono::milliseconds(100));
        retries.completed();
    }
    CHECK(retries.retryAfter() <= std::chrono::milliseconds(1700));
}
