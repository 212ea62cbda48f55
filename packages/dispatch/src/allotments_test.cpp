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

/// Daemons that serve one customer and report to each other with a delay.
class Fleet
{
public:
    Fleet(const CustomerConfiguration &customer, std::size_t daemons, const RateLimitTolerance &tolerance = {})
        : m_customer(customer)
        , m_daemons(daemons, RateLimiter(tolerance))
        , m_reported(daemons, 0.0)
    {
        ServingConfiguration configuration;
        configuration.customers = {customer};
        for (auto &it : m_daemons) {
            it.configure(configuration, m_clock.now());
        }
    }

    /// The customer asks each daemon for so many units each 10 ms. @return units granted
    double step(const std::vector<double> &asked)
    {
        m_clock.advance(10ms);
        double sum = 0;
        for (const auto it : asked) {
            sum += it;
        }
        double granted = 0;
        for (std::size_t n = 0; n < m_daemons.size(); ++n) {
            const RateLimitShare share {1, 0.1 / static_cast<double>(m_daemons.size()) + 0.9 * asked[n] / sum};
            if (asked[n] > 0 && m_daemons[n].take(m_customer, asked[n], share, m_clock.now())) {
                granted += asked[n];
            }
        }
        if (++m_step % 15 == 0) {
            report();
        }
        m_granted.push_back(granted);
        m_window += granted;
        if (m_granted.size() > 800) {
            m_window -= m_granted.front();
            m_granted.pop_front();
        }
        most = std::max(most, m_window);
        return granted;
    }

    double most = 0; ///< units granted in any 8 s

private:
    void report()
    {
        for (std::size_t n = 0; n < m_daemons.size(); ++n) {
            const auto spent = m_daemons[n].spent()[m_customer.name];
            for (std::size_t other = 0; other < m_daemons.size(); ++other) {
                if (other != n) {
                    m_daemons[other].recordRemoteSpending(m_customer.name, spent - m_reported[n]);
                }
            }
            m_reported[n] = spent;
        }
    }

    CustomerConfiguration m_customer;
    VirtualClock m_clock;
    std::vector<RateLimiter> m_daemons;
    std::vector<double> m_reported;
    std::deque<double> m_granted;
    double m_window = 0;
    unsigned m_step = 0;
};

} // namespace

TEST_CASE("a customer with many times its usual load gets its limit and no more, over daemons with uneven load")
{
    Fleet fleet(customerWith(1000, 1000), 4);
    double granted = 0;
    for (unsigned step = 0; step < 3000; ++step) {
        granted += fleet.step({50, 20, 5, 1});
    }
    CHECK(granted >= 0.9 * 30 * 1000);
    CHECK(fleet.most <= (8 * 1000 + 1000) * 1.1);
}

TEST_CASE("a part of the tolerance is granted, and the whole of it never passed")
{
    Fleet fleet(customerWith(1000, 1000), 4, {0.1, 500});
    double granted = 0;
    for (unsigned step = 0; step < 3000; ++step) {
        granted += fleet.step({50, 20, 5, 1});
    }
    CHECK(granted >= 30 * 1000);
    CHECK(fleet.most <= (8 * 1000 + 1000) * 1.1 + 500);
}

TEST_CASE("a customer within its limit is never refused, however uneven the daemons' load")
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

TEST_CASE("a request larger than the bucket waits for a full one and is paid later")
{
    const auto customer = customerWith(100, 100);
    VirtualClock clock;
    RateLimiter allotments;
    CHECK_FALSE(allotments.take(customer, 1, {}, clock.now()));
    clock.advance(1s);
    CHECK(allotments.take(customer, 500, {}, clock.now()));
    clock.advance(3s);
    CHECK_FALSE(allotments.take(customer, 1, {}, clock.now()));
    const std::chrono::duration<double> wait = allotments.waitTime(customer, 1, {});
    CHECK(wait.count() == doctest::Approx(1.01));
    clock.advance(1100ms);
    CHECK(allotments.take(customer, 1, {}, clock.now()));
}

TEST_CASE("a lower limit takes effect at once, and what has not run is given back")
{
    ServingConfiguration configuration;
    configuration.customers = {customerWith(1000, 1000)};
    VirtualClock clock;
    RateLimiter allotments;
    allotments.configure(configuration, clock.now());
    clock.advance(10s);
    CHECK(allotments.take(configuration.customers.front(), 10, {}, clock.now()));
    configuration.customers = {customerWith(10, 10)};
    allotments.configure(configuration, clock.now());
    const auto &lowered = configuration.customers.front();
    CHECK(allotments.take(lowered, 10, {}, clock.now()));
    CHECK_FALSE(allotments.take(lowered, 10, {}, clock.now()));
    allotments.refund(lowered.name, 10);
    CHECK(allotments.take(lowered, 10, {}, clock.now()));
    CHECK(allotments.spent()[lowered.name] == doctest::Approx(20));
    CHECK(allotments.take(customerWith(0, 0), 1e9, {}, clock.now())); // no limit
}

TEST_CASE("a daemon that hears nobody spends its even part")
{
    const auto customer = customerWith(1000, 1000);
    VirtualClock clock;
    RateLimiter allotments;
    double granted = 0;
    for (unsigned step = 0; step < 1000; ++step) {
        clock.advance(10ms);
        granted += allotments.take(customer, 20, {0.25, 1}, clock.now()) ? 20 : 0;
    }
    CHECK(granted <= 10 * 1000 * 0.25 + 250);
    CHECK(granted >= 10 * 1000 * 0.25 * 0.9);
}
