#include "limitsimulation.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <numeric>
#include <queue>

namespace monsoonward
{

namespace
{

using Seconds = std::chrono::duration<double>;

// The users' rule: in any window this fraction of what the limit allows there, and some requests more.
constexpr Seconds window {4};
constexpr double allowedFraction = 1.5;
constexpr double allowedExtra = 5;
constexpr Duration step = std::chrono::milliseconds(1);
constexpr Seconds demandDecayTime {5};
const ServiceName service("model");

Duration durationOf(double seconds)
{
    return std::chrono::duration_cast<Duration>(Seconds(seconds));
}

class LimitSimulation
{
public:
    explicit LimitSimulation(const LimitScenario &scenario)
        : m_scenario(scenario)
        , m_random(scenario.seed)
        , m_startedAt(m_clock.now())
        , m_arrivals(scenario.engines)
    {
        m_outline.limit = scenario.limit;
        for (unsigned n = 0; n < scenario.gateways; ++n) {
            m_outline.hosts.emplace_back("g" + std::to_string(n));
        }
        for (unsigned n = 0; n < scenario.engines; ++n) {
            m_outline.engines.push_back(
                {EngineName("e" + std::to_string(n)), service, {"10.0.0.1", 80}, DataCentreName("dc"), 1, false});
        }
        for (const auto &it : m_outline.hosts) {
            m_gateways.push_back({makeLimitKeeper(scenario.method, m_outline, it, m_clock.now()), 0, m_startedAt, 0});
        }
        chooseWeights();
    }

    LimitResult run()
    {
        auto nextRequestAt = m_startedAt + m_scenario.pause;
        bool hasShifted = false;
        while (m_clock.now() < m_startedAt + m_scenario.pause + m_scenario.length) {
            m_clock.advance(step);
            exchangeReports();
            if (!hasShifted && m_clock.now() > m_startedAt + m_scenario.pause + m_scenario.length / 2) {
                chooseWeights();
                hasShifted = true;
            }
            while (nextRequestAt <= m_clock.now()) {
                sendRequest();
                nextRequestAt += durationOf(-std::log(1 - m_random.nextDouble()) / m_scenario.requestsPerSecond);
            }
        }
        const double allowed =
            m_scenario.limit * Seconds(m_scenario.length).count() * static_cast<double>(m_scenario.engines);
        m_result.usedFraction = static_cast<double>(m_sent) / allowed;
        return m_result;
    }

private:
    struct Gateway
    {
        std::unique_ptr<LimitKeeper> keeper;
        double recent = 0; // requests, decaying
        TimePoint countedAt;
        std::uint64_t reports = 0;
    };
    struct Delivery
    {
        TimePoint at;
        std::size_t to;
        std::shared_ptr<const LoadReport> report;
        bool operator<(const Delivery &other) const
        {
            return at > other.at; // the earliest one is on top of the queue
        }
    };

    /// The busiest gateway gets several times as many requests as the mean.
    void chooseWeights()
    {
        m_weights.clear();
        for (unsigned n = 0; n < m_scenario.gateways; ++n) {
            m_weights.push_back(-std::log(1 - m_random.nextDouble()) + 0.05);
        }
    }

    std::size_t randomGateway()
    {
        double left = m_random.nextDouble() * std::accumulate(m_weights.begin(), m_weights.end(), 0.0);
        for (std::size_t n = 0; n < m_weights.size(); ++n) {
            left -= m_weights[n];
            if (left < 0) {
                return n;
            }
        }
        return m_weights.size() - 1;
    }

    static double decayed(const Gateway &gateway, TimePoint now)
    {
        return gateway.recent * std::exp(-Seconds(now - gateway.countedAt) / demandDecayTime);
    }

    void sendRequest()
    {
        const auto now = m_clock.now();
        auto &gateway = m_gateways[randomGateway()];
        gateway.recent = decayed(gateway, now) + 1;
        gateway.countedAt = now;
        const auto first = m_random.nextBelow(m_outline.engines.size());
        for (std::size_t n = 0; n < m_outline.engines.size(); ++n) {
            const auto engine = (first + n) % m_outline.engines.size();
            if (gateway.keeper->take(m_outline.engines[engine], now)) {
                recordArrival(engine, now);
                return;
            }
        }
    }

    void recordArrival(std::size_t engine, TimePoint now)
    {
        ++m_sent;
        auto &arrivals = m_arrivals[engine];
        arrivals.push_back(now);
        while (Seconds(now - arrivals.front()) >= window) {
            arrivals.pop_front();
        }
        const double allowed = allowedFraction * m_scenario.limit * window.count() + allowedExtra;
        m_result.worstWindow = std::max(m_result.worstWindow, static_cast<double>(arrivals.size()) / allowed);
    }

    void exchangeReports()
    {
        const auto now = m_clock.now();
        const auto stagger = m_scenario.reportInterval / static_cast<int>(m_scenario.gateways);
        while (m_startedAt + stagger * static_cast<int>(m_turn) <= now) {
            report(m_turn++ % m_gateways.size());
        }
        while (!m_deliveries.empty() && m_deliveries.top().at <= now) {
            const auto delivery = m_deliveries.top();
            m_deliveries.pop();
            m_gateways[delivery.to].keeper->receive(*delivery.report, now);
        }
    }

    void report(std::size_t from)
    {
        auto &gateway = m_gateways[from];
        auto report = std::make_shared<LoadReport>();
        report->host = m_outline.hosts[from];
        report->incarnation = 1;
        report->sequenceNumber = ++gateway.reports;
        report->uptime = m_clock.now() - m_startedAt;
        report->serviceDemand = {{service, decayed(gateway, m_clock.now()) / demandDecayTime.count()}};
        gateway.keeper->fill(*report, m_clock.now());
        for (std::size_t n = 0; n < m_gateways.size(); ++n) {
            if (n != from && m_random.nextDouble() >= m_scenario.lostReports) {
                const auto delay = durationOf(m_random.nextDouble() * Seconds(m_scenario.maxReportDelay).count());
                m_deliveries.push({m_clock.now() + delay, n, report});
            }
        }
    }

    LimitScenario m_scenario;
    VirtualClock m_clock;
    SeededRandom m_random;
    TimePoint m_startedAt;
    FleetOutline m_outline;
    std::vector<Gateway> m_gateways;
    std::vector<double> m_weights; // by gateway: its part of the requests
    std::vector<std::deque<TimePoint>> m_arrivals; // by engine, within the window
    std::priority_queue<Delivery> m_deliveries;
    std::uint64_t m_turn = 0;
    std::uint64_t m_sent = 0;
    LimitResult m_result;
};

} // namespace

LimitResult simulateLimits(const LimitScenario &scenario)
{
    return LimitSimulation(scenario).run();
}

} // namespace monsoonward
