#include "monsoonward/dispatch/dispatch.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <numeric>
#include <set>

using namespace monsoonward;
using namespace std::chrono_literals;

namespace
{

const ServiceName service("model");

/// Gateways of two regions that report their demand to each other.
class Gateways
{
public:
    explicit Gateways(const std::vector<double> &demand)
    {
        m_topology.regions = {{DataCentreName("here"), RegionName("r1")}, {DataCentreName("far"), RegionName("r2")}};
        std::vector<HostName> hosts;
        std::map<HostName, DataCentreName> locations;
        for (std::size_t n = 0; n < demand.size(); ++n) {
            hosts.emplace_back("g" + std::to_string(n));
            locations[hosts[n]] = DataCentreName("here");
        }
        for (std::size_t n = 0; n < demand.size(); ++n) {
            auto topology = m_topology;
            topology.ownDataCentre = locations[hosts[n]];
            auto &fleet = m_fleets.emplace_back(std::make_unique<FleetView>(hosts[n]));
            auto &division = m_divisions.emplace_back(std::make_unique<LimitDivision>(topology, hosts[n], *fleet));
            fleet->setMembers(hosts, clock.now());
            division->setMembers(locations);
            division->setOwnDemand({{service, demand[n]}});
        }
        for (std::size_t from = 0; from < demand.size(); ++from) {
            report(from, demand[from]);
        }
    }

    /// Lets all others hear that a gateway gets so many requests per second.
    void report(std::size_t from, double demand)
    {
        LoadReport report;
        report.host = HostName("g" + std::to_string(from));
        report.incarnation = 1;
        report.sequenceNumber = ++m_reports;
        report.serviceDemand = {{service, demand}};
        for (std::size_t n = 0; n < m_fleets.size(); ++n) {
            if (n != from) {
                m_fleets[n]->addReport(report, clock.now());
            }
        }
    }

    std::vector<double> shares(double perSecond, Duration age = {}, const std::string &dataCentre = "here") const
    {
        const EngineRecord engine {EngineName("e"), service, {"10.0.0.1", 80}, DataCentreName(dataCentre), 1, false};
        std::vector<double> shares;
        for (const auto &it : m_divisions) {
            shares.push_back(it->ownShare(engine, perSecond, age, clock.now()));
        }
        return shares;
    }

    VirtualClock clock;

private:
    Topology m_topology;
    std::vector<std::unique_ptr<FleetView>> m_fleets;
    std::vector<std::unique_ptr<LimitDivision>> m_divisions;
    std::uint64_t m_reports = 0;
};

double sum(const std::vector<double> &values)
{
    return std::accumulate(values.begin(), values.end(), 0.0);
}

std::size_t ownersIn(const std::vector<double> &shares)
{
    return static_cast<std::size_t>(std::count_if(shares.begin(), shares.end(), [](double it) { return it > 0; }));
}

} // namespace

TEST_CASE("the shares of a limit add up to it and follow the demand")
{
    const Gateways gateways({40, 20, 20, 0});
    const auto shares = gateways.shares(80);
    CHECK(sum(shares) == doctest::Approx(80));
    CHECK(shares[0] == doctest::Approx(38)); // 90% by demand, 10% evenly
    CHECK(shares[1] == doctest::Approx(20));
    CHECK(shares[3] == doctest::Approx(2));
}

TEST_CASE("of many gateways few get a share of a low limit, each at least one request per second")
{
    const Gateways gateways(std::vector<double>(68, 15.0));
    for (const double limit : {0.5, 1.0, 5.9, 20.0, 67.0}) {
        CAPTURE(limit);
        const auto shares = gateways.shares(limit);
        CHECK(sum(shares) == doctest::Approx(limit));
        CHECK(ownersIn(shares) == std::max<std::size_t>(1, static_cast<std::size_t>(limit)));
    }
    CHECK(ownersIn(gateways.shares(680)) == 68);
}

TEST_CASE("small shares beside large ones are pooled or left to the large ones")
{
    std::vector<double> demand(30, 1.0);
    demand[0] = 100;
    const Gateways gateways(demand);
    for (const double limit : {3.0, 10.0, 50.0}) {
        CAPTURE(limit);
        const auto shares = gateways.shares(limit);
        CHECK(sum(shares) == doctest::Approx(limit));
        CHECK(shares[0] > limit / 2);
    }
}

TEST_CASE("a limit of zero leaves a rate at which its end is heard, at another gateway after a while")
{
    const Gateways gateways(std::vector<double>(22, 3.0));
    std::set<std::size_t> owners;
    for (int turn = 0; turn < 10; ++turn) {
        const auto shares = gateways.shares(0, turn * LimitDivision::turnLength);
        CHECK(sum(shares) == doctest::Approx(LimitDivision::minPerSecond));
        CHECK(ownersIn(shares) == 1);
        owners.insert(static_cast<std::size_t>(std::max_element(shares.begin(), shares.end()) - shares.begin()));
    }
    CHECK(owners.size() > 3);
}

TEST_CASE("the part of a silent gateway is left out, and one that hears nobody spends no more than its part")
{
    Gateways gateways(std::vector<double>(4, 10.0));
    gateways.clock.advance(FleetView::silenceTimeout + 1ms);
    for (std::size_t n = 0; n < 3; ++n) {
        gateways.report(n, 10);
    }
    // The last one's reports are lost; it hears the others.
    const auto shares = gateways.shares(40);
    CHECK(sum(shares) == doctest::Approx(40));
    gateways.clock.advance(FleetView::silenceTimeout + 1ms);
    CHECK(sum(gateways.shares(40)) == doctest::Approx(40)); // each hears nobody
    CHECK(gateways.shares(40)[0] == doctest::Approx(10));
}

TEST_CASE("a gateway that gets no requests for the service gets a small share")
{
    Gateways gateways({30, 30, 30, 0});
    const auto shares = gateways.shares(12);
    CHECK(sum(shares) == doctest::Approx(12));
    CHECK(shares[3] <= 1);
}

// A gateway took the mean for its own demand where the others took none.
TEST_CASE("a gateway that reports demand for other services only has none for this one, by its own count too")
{
    CHECK_FALSE(demandFor(service, {}));
    CHECK(demandFor(service, {{ServiceName("other"), 3.0}}) == 0.0);
    CHECK(demandFor(service, {{service, 3.0}}) == 3.0);
    VirtualClock clock;
    const FleetView fleet(HostName("own"));
    LimitDivision division({}, HostName("own"), fleet);
    const EngineRecord engine {EngineName("e"), service, {"10.0.0.1", 80}, DataCentreName("dc"), 1, false};
    division.setOwnDemand({{ServiceName("other"), 3.0}});
    CHECK(division.ownShare(engine, 5, {}, clock.now()) == doctest::Approx(5)); // there is no other gateway
}
