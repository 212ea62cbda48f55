#include "monsoonward/dispatch/dispatch.h"

#include <doctest/doctest.h>

#include <deque>

using namespace monsoonward;
using namespace std::chrono_literals;

namespace
{

CustomerConfiguration customerWith(double rate, double burst)
{
    CustomerConfiguration customer;
    customer.name = CustomerName("c");
    customer.unitsPerSecond = rate;
    customer.burstUnits = burst;
    return customer;
}

/// Daemons that serve one customer and report what they granted every 150 ms.
class Fleet
{
public:
    Fleet(const CustomerConfiguration &customer, std::size_t daemons, const RateLimitTolerance &tolerance = {})
        : m_customer(customer)
        , m_daemons(daemons, RateLimiter(tolerance))
        , m_lastSpent(daemons, 0.0)
    {
        ServingConfiguration configuration;
        configuration.customers = {customer};
        for (auto &it : m_daemons) {
            it.configure(configuration, m_clock.now());
        }
    }

    /// Advances the clock by 10 ms; the customer then requests @p demand units, one number per daemon.
    /// @return units granted
    double step(const std::vector<double> &demand)
    {
        m_clock.advance(10ms);
        double sum = 0;
        for (const auto it : demand) {
            sum += it;
        }
        double granted = 0;
        for (std::size_t n = 0; n < m_daemons.size(); ++n) {
            const RateLimitShare share {1, 0.1 / static_cast<double>(m_daemons.size()) + 0.9 * demand[n] / sum};
            if (demand[n] > 0 && m_daemons[n].take(m_customer, demand[n], share, m_clock.now())) {
                granted += demand[n];
            }
        }
        if (++m_step % 15 == 0) {
            report();
        }
        m_windowGrants.push_back(granted);
        m_windowSum += granted;
        if (m_windowGrants.size() > 800) {
            m_windowSum -= m_windowGrants.front();
            m_windowGrants.pop_front();
        }
        maxWindowGranted = std::max(maxWindowGranted, m_windowSum);
        return granted;
    }

    double maxWindowGranted = 0; ///< units granted in any 8 s

private:
    void report()
    {
        for (std::size_t n = 0; n < m_daemons.size(); ++n) {
            const auto spent = m_daemons[n].spent()[m_customer.name];
            for (std::size_t other = 0; other < m_daemons.size(); ++other) {
                if (other != n) {
                    m_daemons[other].recordRemoteSpending(m_customer.name, spent - m_lastSpent[n], 1, m_clock.now());
                }
            }
            m_lastSpent[n] = spent;
        }
    }

    CustomerConfiguration m_customer;
    VirtualClock m_clock;
    std::vector<RateLimiter> m_daemons;
    std::vector<double> m_lastSpent;
    std::deque<double> m_windowGrants;
    double m_windowSum = 0;
    unsigned m_step = 0;
};

} // namespace

TEST_CASE("a customer far above its limit gets its limit and no more, with uneven load on the daemons")
{
    Fleet fleet(customerWith(1000, 1000), 4);
    double granted = 0;
    for (unsigned step = 0; step < 3000; ++step) {
        granted += fleet.step({50, 20, 5, 1});
    }
    CHECK(granted >= 0.9 * 30 * 1000);
    CHECK(fleet.maxWindowGranted <= (8 * 1000 + 1000) * 1.1);
}

// A daemon without requests of the customer added the units of the whole time at its next request, after it had
// subtracted what others granted: the burst was granted twice.
TEST_CASE("a burst that one daemon granted after a quiet time is not granted again by another one")
{
    const auto customer = customerWith(100, 100);
    ServingConfiguration configuration;
    configuration.customers = {customer};
    VirtualClock clock;
    RateLimiter first;
    RateLimiter second;
    first.configure(configuration, clock.now());
    second.configure(configuration, clock.now());
    clock.advance(10s);
    double granted = 0;
    while (first.take(customer, 20, {1, 1}, clock.now())) {
        granted += 20;
    }
    CHECK(granted == 100);
    second.recordRemoteSpending(customer.name, granted, 1, clock.now());
    CHECK_FALSE(second.take(customer, 20, {1, 0.5}, clock.now()));
    CHECK(second.level(customer.name) == doctest::Approx(0));
    clock.advance(300ms);
    CHECK(second.take(customer, 20, {1, 1}, clock.now()));
}

TEST_CASE("part of the tolerance is granted, and the tolerance is never exceeded")
{
    Fleet fleet(customerWith(1000, 1000), 4, {0.1, 500});
    double granted = 0;
    for (unsigned step = 0; step < 3000; ++step) {
        granted += fleet.step({50, 20, 5, 1});
    }
    CHECK(granted >= 30 * 1000);
    CHECK(fleet.maxWindowGranted <= (8 * 1000 + 1000) * 1.1 + 500);
}

TEST_CASE("a customer within its limit is never refused, even with very uneven load on the daemons")
{
    Fleet fleet(customerWith(1000, 1000), 4);
    for (unsigned step = 0; step < 200; ++step) {
        fleet.step({0, 0, 0, 1}); // the buckets fill
    }
    double granted = 0;
    for (unsigned step = 0; step < 1000; ++step) {
        granted += fleet.step({step % 10 == 0 ? 60.0 : 0, 0, step % 100 == 0 ? 150.0 : 0, 0.5});
    }
    CHECK(granted == doctest::Approx(100 * 60 + 10 * 150 + 1000 * 0.5));
}

TEST_CASE("a request larger than the bucket is granted when the bucket is full and leaves a negative level")
{
    const auto customer = customerWith(100, 100);
    VirtualClock clock;
    RateLimiter limiter;
    CHECK_FALSE(limiter.take(customer, 1, {}, clock.now()));
    clock.advance(1s);
    CHECK(limiter.take(customer, 500, {}, clock.now()));
    clock.advance(3s);
    CHECK_FALSE(limiter.take(customer, 1, {}, clock.now()));
    const std::chrono::duration<double> wait = limiter.waitTime(customer, 1, {});
    CHECK(wait.count() == doctest::Approx(1.01));
    clock.advance(1100ms);
    CHECK(limiter.take(customer, 1, {}, clock.now()));
}

TEST_CASE("a lower limit takes effect at once, and units of requests that were not executed are refunded")
{
    ServingConfiguration configuration;
    configuration.customers = {customerWith(1000, 1000)};
    VirtualClock clock;
    RateLimiter limiter;
    limiter.configure(configuration, clock.now());
    clock.advance(10s);
    CHECK(limiter.take(configuration.customers.front(), 10, {}, clock.now()));
    configuration.customers = {customerWith(10, 10)};
    limiter.configure(configuration, clock.now());
    const auto &lowered = configuration.customers.front();
    CHECK(limiter.take(lowered, 10, {}, clock.now()));
    CHECK_FALSE(limiter.take(lowered, 10, {}, clock.now()));
    limiter.refund(lowered.name, 10);
    CHECK(limiter.take(lowered, 10, {}, clock.now()));
    CHECK(limiter.spent()[lowered.name] == doctest::Approx(20));
    CHECK(limiter.take(customerWith(0, 0), 1e9, {}, clock.now())); // no limit
}

TEST_CASE("a daemon that receives no reports grants its even share of the limit")
{
    const auto customer = customerWith(1000, 1000);
    VirtualClock clock;
    RateLimiter limiter;
    double granted = 0;
    for (unsigned step = 0; step < 1000; ++step) {
        clock.advance(10ms);
        granted += limiter.take(customer, 20, {0.25, 1}, clock.now()) ? 20 : 0;
    }
    CHECK(granted <= 10 * 1000 * 0.25 + 250);
    CHECK(granted >= 10 * 1000 * 0.25 * 0.9);
}
