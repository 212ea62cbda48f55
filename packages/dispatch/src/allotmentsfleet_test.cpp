#include "monsoonward/dispatch/dispatch.h"

#include <doctest/doctest.h>

#include <cmath>
#include <deque>

using namespace monsoonward;
using namespace std::chrono_literals;

namespace
{

constexpr double rate = 100; // units per second
constexpr double burst = 100;
constexpr double tolerance = 0.1;
constexpr Duration window = 8s;

/// What a customer far above a low limit was granted by many daemons.
struct Grants
{
    double total = 0;
    double mostInWindow = 0;
};

/// @param demand of the customer in units per second, at random daemons
/// @param reportInterval of each daemon; the daemons report in turn
/// @param killInterval a random daemon is killed so often, and started again; zero for none
Grants grantsOf(std::size_t daemons,
                double unitsPerRequest,
                double demand,
                Duration reportInterval,
                Duration length,
                std::uint64_t seed,
                Duration killInterval = {})
{
    CustomerConfiguration customer;
    customer.name = CustomerName("c");
    customer.unitsPerSecond = rate;
    customer.burstUnits = burst;
    ServingConfiguration configuration;
    configuration.customers = {customer};
    VirtualClock clock;
    SeededRandom random(seed);
    const auto newLimiter = [&](std::size_t n) {
        RateLimiter limiter(RateLimitTolerance {tolerance, 0}, seed + n);
        limiter.configure(configuration, clock.now());
        return limiter;
    };
    std::vector<RateLimiter> limiters;
    for (std::size_t n = 0; n < daemons; ++n) {
        limiters.push_back(newLimiter(n));
    }
    std::vector<double> reported(daemons, 0.0);
    const auto even = 1 / static_cast<double>(daemons);
    const RateLimitShare aloneShare {even, 1, 0}; // of a daemon that has heard of no other one since its start
    std::vector<TimePoint> startedAt(daemons, clock.now() - 1h);
    const RateLimitShare commonShare {
        1, even, demand * (1 - even) * std::chrono::duration<double>(reportInterval).count()};
    Grants grants;
    std::deque<TimePoint> granted;
    const auto start = clock.now();
    for (std::size_t turn = 0, kills = 1; clock.now() - start < length;) {
        clock.advance(1ms);
        if (killInterval > Duration::zero() && clock.now() - start >= killInterval * static_cast<int>(kills)) {
            ++kills;
            const auto n = random.nextBelow(daemons);
            limiters[n] = newLimiter(n);
            startedAt[n] = clock.now();
            reported[n] = 0;
        }
        if (random.nextDouble() < demand / unitsPerRequest / 1000) {
            const auto n = random.nextBelow(daemons);
            const auto &share = clock.now() - startedAt[n] < reportInterval ? aloneShare : commonShare;
            if (limiters[n].take(customer, unitsPerRequest, share, clock.now())) {
                granted.push_back(clock.now());
                grants.total += unitsPerRequest;
            }
        }
        while (!granted.empty() && granted.front() <= clock.now() - window) {
            granted.pop_front();
        }
        grants.mostInWindow = std::max(grants.mostInWindow, static_cast<double>(granted.size()) * unitsPerRequest);
        for (; start + reportInterval * static_cast<int>(turn) / static_cast<int>(daemons) <= clock.now(); ++turn) {
            const auto from = turn % daemons;
            const auto spent = limiters[from].spent()[customer.name];
            for (std::size_t to = 0; to < daemons; ++to) {
                if (to != from) {
                    limiters[to].recordRemoteSpending(customer.name, spent - reported[from], 1, clock.now());
                }
            }
            reported[from] = spent;
        }
    }
    return grants;
}

} // namespace

// 24 gateways granted more than a customer's limit allows, since each saw a level that covered its request.
TEST_CASE("many daemons together keep a limit that covers a few requests, and use it")
{
    constexpr double allowed = (rate * 8 + burst) * (1 + tolerance);
    for (const std::size_t daemons : {4U, 24U, 68U}) {
        const auto interval = std::min<Duration>(50ms * std::max<int>(5, static_cast<int>(daemons)) / 5, 400ms);
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            CAPTURE(daemons);
            CAPTURE(seed);
            const auto grants = grantsOf(daemons, 20, 1000, interval, 60s, seed);
            CHECK(grants.mostInWindow <= allowed);
            CHECK(grants.total >= 0.85 * 60 * rate);
        }
    }
}

TEST_CASE("daemons that are killed and started again keep the limit of a customer")
{
    constexpr double allowed = (rate * 8 + burst) * (1 + tolerance);
    for (const Duration interval : {2s, 4s}) {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            CAPTURE(interval.count());
            CAPTURE(seed);
            const auto grants = grantsOf(5, 20, 400, 50ms, 60s, seed, interval);
            CHECK(grants.mostInWindow <= allowed);
            CHECK(grants.total >= 0.85 * 60 * rate);
        }
    }
}

TEST_CASE("a customer below its limit is hardly refused by many daemons")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        CAPTURE(seed);
        CHECK(grantsOf(24, 5, 60, 240ms, 60s, seed).total >= 0.9 * 60 * 60);
    }
}
