#include "monsoonward/dispatch/dispatch.h"

#include <doctest/doctest.h>

using namespace monsoonward;
using namespace std::chrono_literals;

namespace
{

const ServiceName service("a");

} // namespace

TEST_CASE("the parts of four daemons stay within the budget of any window")
{
    const RetryBudgetLimits bounds {0.2, 52, 10s};
    VirtualClock clock;
    std::vector<RetryBudgetShare> daemons(4, RetryBudgetShare(bounds, clock.now() - 1h));
    std::deque<std::pair<TimePoint, unsigned>> retries;
    unsigned requests = 0;
    for (unsigned step = 0; step < 400; ++step) {
        clock.advance(100ms);
        unsigned taken = 0;
        for (auto &it : daemons) {
            it.recordRequest(service, clock.now());
            ++requests;
            taken += it.take(service, 4, clock.now()) ? 1 : 0;
            taken += it.take(service, 4, clock.now()) ? 1 : 0;
        }
        retries.emplace_back(clock.now(), taken);
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
    RetryBudgetShare allowance({0.2, 52, 10s}, clock.now());
    CHECK_FALSE(allowance.take(service, 1, clock.now()));
    clock.advance(5s);
    CHECK(allowance.take(service, 1, clock.now()));
    CHECK(allowance.remaining(service, 1, clock.now()) == doctest::Approx(0.75 * 26 - 1));
}
