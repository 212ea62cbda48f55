#include "monsoonward/dispatch/dispatch.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <numeric>
#include <queue>
#include <random>

using namespace monsoonward;
using namespace std::chrono_literals;

namespace
{

const ServiceName service("model");

/// Gateways that place requests on the same engines and know each other's load only from periodic reports.
class GatewayFleet
{
public:
    GatewayFleet(std::size_t gateways, std::size_t engines, std::uint32_t slots)
        : m_running(engines)
    {
        std::vector<HostName> hosts;
        for (std::size_t n = 0; n < gateways; ++n) {
            hosts.emplace_back("g" + std::to_string(n));
        }
        for (std::size_t n = 0; n < gateways; ++n) {
            auto &it = m_gateways.emplace_back(std::make_unique<Gateway>(hosts[n]));
            it->fleet.setMembers(hosts, m_clock.now());
            for (std::size_t k = 0; k < engines; ++k) {
                it->directory.put(
                    {EngineName(std::to_string(k)), service, {"10.0.0.1", 80}, DataCentreName("dc"), slots, false});
            }
            it->placer = makeFirstBytesPlacer(it->topology, it->directory, it->health, it->fleet, it->limiter);
            for (unsigned k = 0; k < 1000; ++k) {
                const unsigned inProgress = k % (4 * slots);
                const auto length = 50ms + (inProgress > slots ? (inProgress - slots) * 20ms : 0ms);
                it->placer->firstBytesReceived(*it->directory.find(EngineName(std::to_string(k % engines))),
                                               inProgress / double(slots),
                                               length,
                                               m_clock.now());
            }
        }
    }

    /// Requests arrive at random times at random gateways and run for @p length. Each gateway sends a report every
    /// @p reportInterval; the gateways take turns.
    /// @return load of the busiest engine relative to the mean load of all engines, averaged over the arrivals
    double maxToMeanLoad(double requestsPerSecond, Duration length, Duration reportInterval, unsigned requests)
    {
        std::mt19937 random(7);
        std::exponential_distribution<double> arrival(requestsPerSecond);
        std::uniform_real_distribution<double> uniform(0, 1);
        double maxSum = 0;
        double meanSum = 0;
        unsigned samples = 0;
        for (unsigned n = 0; n < requests; ++n) {
            runUntil(m_clock.now()
                         + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(arrival(random))),
                     reportInterval);
            const auto gateway = static_cast<std::size_t>(uniform(random) * static_cast<double>(m_gateways.size()));
            PlacementRequest request;
            request.service = service;
            request.latencyObjective = 400ms;
            request.timeLeft = 4s;
            request.uniformHash = uniform(random);
            const auto placement = m_gateways[gateway]->placer->place(request, m_clock.now());
            if (placement.outcome != PlacementOutcome::Placed) {
                ++refused;
                continue;
            }
            const auto engine = usesRandomEngine
                ? EngineName(std::to_string(static_cast<std::size_t>(uniform(random) * double(m_running.size()))))
                : placement.engine.name;
            m_gateways[gateway]->placer->requestSent(engine, m_clock.now());
            ++m_running[std::stoul(engine.text())];
            m_pendingEnds.push_back({m_clock.now() + length, gateway, engine});
            if (n > requests / 4) {
                maxSum += *std::max_element(m_running.begin(), m_running.end());
                meanSum += std::accumulate(m_running.begin(), m_running.end(), 0.0) / double(m_running.size());
                ++samples;
            }
        }
        return maxSum / meanSum;
    }

    unsigned refused = 0;
    bool usesRandomEngine = false; // replaces the placer's choice by a random engine

private:
    struct Gateway
    {
        explicit Gateway(const HostName &host)
            : fleet(host)
            , division(Topology(), host, fleet)
        {
        }
        Topology topology;
        EngineDirectory directory;
        EngineHealth health;
        FleetView fleet;
        EngineLimits limits;
        LimitDivision division;
        EngineLimiter limiter {limits, division};
        std::unique_ptr<Placer> placer;
        std::uint64_t reports = 0;
    };
    struct PendingEnd
    {
        TimePoint at;
        std::size_t gateway;
        EngineName engine;
    };

    void runUntil(TimePoint until, Duration reportInterval)
    {
        const auto reportStagger = reportInterval / static_cast<int>(m_gateways.size());
        while (m_nextReportAt <= until || (!m_pendingEnds.empty() && m_pendingEnds.front().at <= until)) {
            if (!m_pendingEnds.empty() && m_pendingEnds.front().at <= m_nextReportAt) {
                const auto end = m_pendingEnds.front();
                m_pendingEnds.pop_front();
                m_clock.advanceTo(end.at);
                m_gateways[end.gateway]->placer->requestEnded(end.engine);
                --m_running[std::stoul(end.engine.text())];
                continue;
            }
            m_clock.advanceTo(m_nextReportAt);
            report(m_nextReporter);
            m_nextReporter = (m_nextReporter + 1) % m_gateways.size();
            m_nextReportAt += reportStagger;
        }
        m_clock.advanceTo(until);
    }

    void report(std::size_t from)
    {
        auto &it = *m_gateways[from];
        LoadReport load;
        load.host = HostName("g" + std::to_string(from));
        load.incarnation = 1;
        load.sequenceNumber = ++it.reports;
        load.requests = it.placer->ownRequests();
        it.placer->loadReported(m_clock.now());
        for (std::size_t n = 0; n < m_gateways.size(); ++n) {
            if (n != from) {
                m_gateways[n]->fleet.addReport(load, m_clock.now());
            }
        }
    }

    VirtualClock m_clock;
    std::vector<std::unique_ptr<Gateway>> m_gateways;
    std::vector<int> m_running;
    std::deque<PendingEnd> m_pendingEnds; // sorted by time, since all requests have the same length
    TimePoint m_nextReportAt = m_clock.now();
    std::size_t m_nextReporter = 0;
};

} // namespace

TEST_CASE("22 gateways with infrequent reports load the engines at least as evenly as random placement")
{
    GatewayFleet fleet(22, 41, 9);
    const auto ratio = fleet.maxToMeanLoad(600, 400ms, 210ms, 6000);
    CHECK(fleet.refused == 0);
    GatewayFleet random(22, 41, 9);
    random.usesRandomEngine = true;
    const auto randomRatio = random.maxToMeanLoad(600, 400ms, 210ms, 6000);
    constexpr double noise = 1.1;
    CHECK(ratio < randomRatio * noise);
}

TEST_CASE("a small fleet with frequent reports loads the engines more evenly than random placement")
{
    GatewayFleet fleet(5, 12, 9);
    const auto ratio = fleet.maxToMeanLoad(150, 500ms, 50ms, 4000);
    CHECK(fleet.refused == 0);
    GatewayFleet random(5, 12, 9);
    random.usesRandomEngine = true;
    CHECK(ratio < random.maxToMeanLoad(150, 500ms, 50ms, 4000));
}

TEST_CASE("a large fleet with few engines and short requests refuses none while slots are free")
{
    GatewayFleet fleet(22, 6, 6);
    fleet.maxToMeanLoad(400, 20ms, 210ms, 4000);
    CHECK(fleet.refused == 0);
}
