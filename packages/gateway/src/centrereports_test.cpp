#include "gatewaytesting.h"
#include "loadreports.h"

#include <doctest/doctest.h>

using namespace monsoonward;
using namespace std::chrono_literals;

namespace
{

/// A gateway that exchanges reports over the loopback interface.
struct TestGateway
{
    TestGateway(boost::asio::io_context &io,
                const Clock &clock,
                const Adapter &adapter,
                StructuredLog &log,
                const GatewaySettings &settings)
        : core(io, clock, settings, adapter, log, metrics)
        , reports(core, 1, [this](const StoreKnowledge &it) { heard = newest(heard, it); })
    {
    }

    /// @return whether the address of the settings could be bound
    bool listen()
    {
        const auto receive = [this](const PeerSocket::Datagram &it) { reports.receive(it); };
        return core.peers.start(core.settings.peerListen, receive).has_value();
    }
    GatewayMetrics metrics;
    GatewayCore core;
    StoreKnowledge heard;
    LoadReports reports;
};

class Gateways
{
public:
    Gateways(std::size_t size, SumsMode mode, std::uint32_t lastFormat = centreReportFormat)
    {
        std::vector<MemberRecord> members;
        for (std::size_t n = 0; n < size; ++n) {
            GatewaySettings settings;
            settings.host = HostName("g" + std::to_string(n));
            settings.topology = {DataCentreName(n % 2 == 0 ? "a" : "b"),
                                 {{DataCentreName("a"), RegionName("r")}, {DataCentreName("b"), RegionName("r")}}};
            settings.reportSums = n + 1 == size && lastFormat == 0 ? SumsMode::Never : mode;
            all.push_back(makeGateway(settings));
            members.push_back({settings.host,
                               all.back()->core.settings.peerListen,
                               1,
                               settings.topology.ownDataCentre,
                               n + 1 == size ? lastFormat : centreReportFormat});
        }
        for (auto &it : all) {
            std::vector<HostName> hosts;
            hosts.reserve(members.size());
            for (const auto &member : members) {
                hosts.push_back(member.host);
            }
            it->core.fleet.setMembers(hosts, m_clock.now());
            it->reports.setMembers(members);
            it->core.knowledge = {1, 5, 0, 0, 0};
            it->reports.start();
        }
    }

    void run(Duration duration)
    {
        m_io.run_for(duration);
    }

    bool areAllHeard() const
    {
        return std::all_of(all.begin(), all.end(), [&](const auto &it) {
            return it->core.fleet.reportingFraction(m_clock.now()) == 1;
        });
    }

private:
    /// Tries several addresses: a port that is free for TCP, or was free a moment ago, may be in use.
    std::unique_ptr<TestGateway> makeGateway(GatewaySettings settings)
    {
        constexpr unsigned maxTries = 20;
        for (unsigned n = 0; n < maxTries; ++n) {
            settings.peerListen = freeLoopbackAddress();
            auto gateway = std::make_unique<TestGateway>(m_io, m_clock, m_adapter, m_log, settings);
            if (gateway->listen()) {
                return gateway;
            }
        }
        FAIL("no address could be bound");
        return nullptr;
    }

    boost::asio::io_context m_io {1};
    BootClock m_clock;
    TestAdapter m_adapter;
    StructuredLog m_log {LogLimits {"error"}, HostName("test"), 1};

public:
    std::vector<std::unique_ptr<TestGateway>> all;
};

} // namespace

TEST_CASE("gateways hear all others through the collectors, and a proof at once")
{
    Gateways gateways(6, SumsMode::Always);
    gateways.run(1500ms);
    CHECK(gateways.areAllHeard());
    for (const auto &it : gateways.all) {
        CHECK(it->reports.centreReports().isInUse());
        CHECK(it->core.fleet.centres(it->core.clock.now()).size() == 2);
    }
    gateways.all.back()->core.knowledge.provenAtMs = 77;
    gateways.all.back()->reports.sendFullReport();
    gateways.run(500ms);
    for (const auto &it : gateways.all) {
        CHECK(it->heard.provenAtMs == 77);
    }
}

TEST_CASE("a small fleet, and one with a gateway that doesn't understand centre reports, sends reports to all")
{
    const auto check = [](SumsMode mode, std::uint32_t lastFormat) {
        Gateways gateways(4, mode, lastFormat);
        gateways.run(500ms);
        CHECK(gateways.areAllHeard());
        CHECK_FALSE(gateways.all.front()->reports.centreReports().isInUse());
    };
    check(SumsMode::Auto, centreReportFormat);
    check(SumsMode::Never, centreReportFormat);
    check(SumsMode::Always, 0);
}

TEST_CASE("datagrams that aren't understood are counted and change nothing")
{
    Gateways gateways(2, SumsMode::Always);
    auto &gateway = *gateways.all.front();
    const std::vector<std::uint8_t> bytes {0xc7, 1, 0, 0x91};
    for (int n = 0; n < 3; ++n) {
        gateway.reports.receive({bytes.data(), bytes.size(), {"127.0.0.1", 9}});
    }
    CHECK(gateway.metrics.text().find("monsoonward_gateway_peer_messages_rejected_total 3") != std::string::npos);
}
