#include "monsoonward/dispatch/dispatch.h"

#include <doctest/doctest.h>

using namespace monsoonward;
using namespace std::chrono_literals;

namespace
{

const ServiceName service("a");

} // namespace

TEST_CASE("four daemons together stay within the budget in any window")
{
    const RetryBudgetLimits limits {0.2, 52, 10s};
    VirtualClock clock;
    std::vector<RetryBudgetShare> daemons(4, RetryBudgetShare(limits, clock.now() - 1h));
    std::deque<std::pair<TimePoint, unsigned>> retries;
    unsigned requests = 0;
    for (unsigned step = 0; step < 400; ++step) {
        clock.advance(100ms);
        unsigned retriesNow = 0;
        for (auto &it : daemons) {
            it.recordRequest(service, clock.now());
            ++requests;
            retriesNow += it.take(service, 4, clock.now()) ? 1 : 0;
            retriesNow += it.take(service, 4, clock.now()) ? 1 : 0;
        }
        retries.emplace_back(clock.now(), retriesNow);
        unsigned sum = 0;
        for (const auto &it : retries) {
            sum += clock.now() - it.first < 10s ? it.second : 0;
        }
        CHECK(sum <= 0.2 * 400 + 52);
    }
    CHECK(requests == 1600);
}

TEST_CASE("a daemon that has just started has no slack yet")
{
    VirtualClock clock;
    RetryBudgetShare budget({0.2, 52, 10s}, clock.now());
    CHECK_FALSE(budget.take(service, 1, clock.now()));
    clock.advance(5s);
    CHECK(budget.take(service, 1, clock.now()));
    CHECK(budget.remaining(service, 1, clock.now()) == doctest::Approx(0.75 * 26 - 1));
}
