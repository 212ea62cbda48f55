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

/// Gateways that place requests on the same engines and know of each other by reports that come seldom.
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
            it->placer = makeFirstBytesPlacer(it->places, it->directory, it->health, it->fleet);
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

    /// Requests come at random times to random gateways and run for @p length; each gateway reports every @p gap.
    /// @return the most requests at one engine, in the mean over time, for each that there would be if all were even
    double busiestToMean(double requestsPerSecond, Duration length, Duration gap, unsigned requests)
    {
        std::mt19937 random(7);
        std::exponential_distribution<double> arrival(requestsPerSecond);
        std::uniform_real_distribution<double> even(0, 1);
        double busiest = 0;
        double mean = 0;
        unsigned measured = 0;
        for (unsigned n = 0; n < requests; ++n) {
            passTo(m_clock.now() + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(arrival(random))),
                   gap);
            const auto gateway = static_cast<std::size_t>(even(random) * static_cast<double>(m_gateways.size()));
            PlacementRequest request;
            request.service = service;
            request.latencyObjective = 400ms;
            request.timeLeft = 4s;
            request.uniformHash = even(random);
            const auto placement = m_gateways[gateway]->placer->place(request, m_clock.now());
            if (placement.outcome != PlacementOutcome::Placed) {
                ++refused;
                continue;
            }
            const auto engine = isRandom
                ? EngineName(std::to_string(static_cast<std::size_t>(even(random) * double(m_running.size()))))
                : placement.engine.name;
            m_gateways[gateway]->placer->requestSent(engine, m_clock.now());
            ++m_running[std::stoul(engine.text())];
            m_ends.push_back({m_clock.now() + length, gateway, engine});
            if (n > requests / 4) {
                busiest += *std::max_element(m_running.begin(), m_running.end());
                mean += std::accumulate(m_running.begin(), m_running.end(), 0.0) / double(m_running.size());
                ++measured;
            }
        }
        return busiest / mean;
    }

    unsigned refused = 0;
    bool isRandom = false; // the engine is drawn, whatever the placer says

private:
    struct Gateway
    {
        explicit Gateway(const HostName &host)
            : fleet(host)
        {
        }
        Topology places;
        EngineDirectory directory;
        EngineHealth health;
        FleetView fleet;
        std::unique_ptr<Placer> placer;
        std::uint64_t reports = 0;
    };
    struct End
    {
        TimePoint at;
        std::size_t gateway;
        EngineName engine;
    };

    void passTo(TimePoint until, Duration gap)
    {
        const auto step = gap / static_cast<int>(m_gateways.size());
        while (m_nextReport <= until || (!m_ends.empty() && m_ends.front().at <= until)) {
            if (!m_ends.empty() && m_ends.front().at <= m_nextReport) {
                const auto end = m_ends.front();
                m_ends.pop_front();
                m_clock.advanceTo(end.at);
                m_gateways[end.gateway]->placer->requestEnded(end.engine);
                --m_running[std::stoul(end.engine.text())];
                continue;
            }
            m_clock.advanceTo(m_nextReport);
            report(m_reporter);
            m_reporter = (m_reporter + 1) % m_gateways.size();
            m_nextReport += step;
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
    std::deque<End> m_ends; // all requests last equally long: in order
    TimePoint m_nextReport = m_clock.now();
    std::size_t m_reporter = 0;
};

} // namespace

TEST_CASE("stale reports read by many: 22 gateways load the engines no less evenly than by chance")
{
    GatewayFleet fleet(22, 41, 9);
    const auto busiest = fleet.busiestToMean(600, 400ms, 210ms, 6000);
    CHECK(fleet.refused == 0);
    GatewayFleet random(22, 41, 9);
    random.isRandom = true;
    const auto byChance = random.busiestToMean(600, 400ms, 210ms, 6000);
    constexpr double noise = 1.1;
    CHECK(busiest < byChance * noise);
}

TEST_CASE("a small fleet with frequent reports loads the engines more evenly than by chance")
{
    GatewayFleet fleet(5, 12, 9);
    const auto busiest = fleet.busiestToMean(150, 500ms, 50ms, 4000);
    CHECK(fleet.refused == 0);
    GatewayFleet random(5, 12, 9);
    random.isRandom = true;
    CHECK(busiest < random.busiestToMean(150, 500ms, 50ms, 4000));
}

TEST_CASE("short requests, few servers, a large fleet: none is refused while places are free")
{
    GatewayFleet fleet(22, 6, 6);
    fleet.busiestToMean(400, 20ms, 210ms, 4000);
    CHECK(fleet.refused == 0);
}
