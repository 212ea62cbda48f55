#include "monsoonward/dispatch/dispatch.h"

#include <doctest/doctest.h>

#include <functional>

using namespace monsoonward;
using namespace std::chrono_literals;

namespace
{

const CustomerName customer("c");
const EngineName engine("e");
constexpr int stepsPerInterval = 4;

/// Gateways of three data centres that exchange reports over a lossy network.
class Fleet
{
public:
    struct Gateway
    {
        Gateway(const HostName &host, const DataCentreName &dataCentre)
            : host(host)
            , dataCentre(dataCentre)
            , view(host)
            , routes(host, dataCentre)
            , collector(dataCentre)
        {
        }
        HostName host;
        DataCentreName dataCentre;
        FleetView view;
        ReportRoutes routes;
        CentreCollector collector;
        std::uint64_t incarnation = 1;
        std::uint64_t reports = 0;
        std::uint64_t centreReports = 0;
        TimePoint startedAt {};
        double spent = 0;
        double heard = 0; // units granted by others
        bool isRunning = true;
        bool isCollecting = false;
    };

    explicit Fleet(std::size_t size)
    {
        for (std::size_t n = 0; n < size; ++n) {
            const HostName host("g" + std::to_string(n));
            m_locations[host] = DataCentreName("dc" + std::to_string(n % 3));
            m_indices[host] = n;
            m_hosts.push_back(host);
        }
        for (const auto &it : m_hosts) {
            gateways.push_back(start(it));
        }
    }

    Gateway start(const HostName &host) const
    {
        Gateway gateway(host, m_locations.at(host));
        gateway.startedAt = clock.now();
        gateway.routes.setMembers(m_locations, clock.now());
        gateway.view.setMembers(m_hosts, clock.now());
        gateway.view.setDataCentres(m_locations);
        gateway.view.setSilenceTimeout(gateway.routes.silenceTimeout());
        gateway.view.setReportInterval(gateway.routes.interval() * 2);
        std::vector<HostName> local = gateway.routes.neighbours();
        local.push_back(host);
        gateway.collector.setMembers(local);
        return gateway;
    }

    void restart(Gateway &gateway) const
    {
        const auto incarnation = gateway.incarnation + 1;
        gateway = start(gateway.host);
        gateway.incarnation = incarnation;
    }

    void run(int intervals)
    {
        for (int step = 0; step < intervals * stepsPerInterval; ++step) {
            clock.advance(gateways.front().routes.interval() / stepsPerInterval);
            for (std::size_t n = 0; n < gateways.size(); ++n) {
                gateways[n].view.expire(clock.now());
                if (gateways[n].isRunning && (static_cast<int>(n) + m_steps) % stepsPerInterval == 0) {
                    tick(gateways[n]);
                }
            }
            ++m_steps;
        }
    }

    Gateway &collectorOf(std::size_t dataCentre, std::size_t position)
    {
        const auto name = "dc" + std::to_string(dataCentre);
        const auto hosts = gateways.back().routes.collectorsOf(DataCentreName(name), clock.now());
        REQUIRE(hosts.size() > position);
        return find(hosts[position]);
    }

    std::size_t collectors() const
    {
        return static_cast<std::size_t>(std::count_if(
            gateways.begin(), gateways.end(), [](const Gateway &it) { return it.isRunning && it.isCollecting; }));
    }

    double granted() const
    {
        double sum = 0;
        for (const auto &it : gateways) {
            sum += it.spent;
        }
        return sum;
    }

    VirtualClock clock;
    std::vector<Gateway> gateways;
    std::function<bool(const HostName &from, const HostName &to)> isLost = [](const auto &, const auto &) {
        return false;
    };
    std::size_t messages = 0;

private:
    Gateway &find(const HostName &host)
    {
        return gateways[m_indices.at(host)];
    }

    void tick(Gateway &gateway)
    {
        const auto now = clock.now();
        LoadReport report;
        report.host = gateway.host;
        report.incarnation = gateway.incarnation;
        report.sequenceNumber = ++gateway.reports;
        report.requests = {{engine, 1}};
        report.demand = {{customer, 10}};
        report.spent = {{customer, gateway.spent}};
        report.uptime = now - gateway.startedAt;
        gateway.view.ownReportSent(report);
        gateway.collector.add(report, now);
        for (const auto &it : gateway.routes.collectorsForOwn(now)) {
            send(gateway.host, it, [&](Gateway &to) { to.collector.add(report, now); });
        }
        gateway.collector.expire(gateway.routes.silenceTimeout(), now);
        const auto position = gateway.routes.updateOwnDuty(now);
        gateway.isCollecting = position.has_value();
        if (position) {
            sendCentreReport(gateway, *position);
        }
    }

    void sendCentreReport(Gateway &gateway, std::size_t position)
    {
        const auto now = clock.now();
        auto report = gateway.collector.collect(gateway.routes.interval(), now);
        report.collector = gateway.host;
        report.incarnation = gateway.incarnation;
        report.sequenceNumber = ++gateway.centreReports;
        const auto deliver = [&](Gateway &to) { receive(to, report); };
        receive(gateway, report);
        for (const auto &it : gateway.routes.neighbours()) {
            send(gateway.host, it, deliver);
        }
        for (const auto &relay : gateway.routes.relays(position, now)) {
            send(gateway.host, relay, [&](Gateway &to) {
                deliver(to);
                for (const auto &it : to.routes.neighbours()) {
                    send(to.host, it, deliver);
                }
            });
        }
    }

    void receive(Gateway &gateway, const CentreReport &report) const
    {
        const auto changes = gateway.view.addCentreReport(report, clock.now());
        REQUIRE(changes);
        gateway.routes.collectorHeard(report.collector, clock.now());
        if (changes.value()) {
            const auto spent = changes.value()->spent.find(customer);
            gateway.heard += spent == changes.value()->spent.end() ? 0 : spent->second;
        }
    }

    void send(const HostName &from, const HostName &to, const std::function<void(Gateway &)> &deliver)
    {
        ++messages;
        auto &receiver = find(to);
        if (receiver.isRunning && !isLost(from, to)) {
            deliver(receiver);
        }
    }

    std::map<HostName, DataCentreName> m_locations;
    std::vector<HostName> m_hosts;
    std::map<HostName, std::size_t> m_indices;
    int m_steps = 0;
};

void checkComplete(Fleet &fleet, std::size_t running)
{
    for (auto &it : fleet.gateways) {
        if (it.isRunning) {
            CAPTURE(it.host.text());
            const auto now = fleet.clock.now();
            CHECK(it.view.requestsAt(engine) == running - 1);
            CHECK(it.view.reportingFraction(now) == doctest::Approx(double(running) / fleet.gateways.size()));
            CHECK(it.view.ownFractionFor(customer, 10, now) == doctest::Approx(1.0 / running));
        }
    }
}

void checkSpending(const Fleet &fleet)
{
    for (const auto &it : fleet.gateways) {
        CAPTURE(it.host.text());
        CHECK(it.heard + it.spent == doctest::Approx(fleet.granted()));
    }
}

void grantEverywhere(Fleet &fleet, double units)
{
    for (auto &it : fleet.gateways) {
        it.spent += it.isRunning ? units : 0;
    }
}

} // namespace

TEST_CASE("every gateway knows the sums of all, each counter once, and two collect in each data centre")
{
    for (const std::size_t size : {3U, 30U, 304U}) {
        CAPTURE(size);
        Fleet fleet(size);
        fleet.run(8);
        checkComplete(fleet, size);
        CHECK(fleet.collectors() == std::min<std::size_t>(size, 6));
        for (int n = 0; n < 4; ++n) {
            grantEverywhere(fleet, 5);
            fleet.run(1);
        }
        fleet.run(3);
        checkSpending(fleet);
        fleet.messages = 0;
        fleet.run(4);
        CHECK(fleet.messages <= 4 * size * 8); // two reports to collectors, six centre reports received
    }
}

TEST_CASE("a killed collector is bridged by the other one and replaced, and not kept in the sums")
{
    for (const std::size_t size : {30U, 304U}) {
        Fleet fleet(size);
        fleet.run(8);
        auto &killed = fleet.collectorOf(0, 0);
        killed.isRunning = false;
        const auto silent = killed.routes.silenceTimeout() / killed.routes.interval() + 2;
        for (int n = 0; n < silent; ++n) {
            fleet.run(1);
            for (auto &it : fleet.gateways) {
                const auto centres = it.view.centres(fleet.clock.now());
                if (it.isRunning) {
                    REQUIRE(centres.size() == 3);
                    CHECK(centres.begin()->second.age <= it.routes.interval() * 2);
                }
            }
        }
        fleet.run(3);
        checkComplete(fleet, size - 1);
        CHECK(fleet.collectors() == 6);
    }
}

TEST_CASE("grants are counted once when a collector freezes and goes on, or starts anew")
{
    for (const bool isRestarted : {false, true}) {
        CAPTURE(isRestarted);
        Fleet fleet(30);
        fleet.run(8);
        auto &gone = fleet.collectorOf(1, 0);
        gone.isRunning = false;
        for (int n = 0; n < 12; ++n) {
            grantEverywhere(fleet, 5);
            fleet.run(1);
        }
        gone.isRunning = true;
        const auto before = gone.heard;
        if (isRestarted) {
            const auto spent = gone.spent;
            fleet.restart(gone);
            gone.spent = 0;
            fleet.run(6);
            for (auto &it : fleet.gateways) {
                CHECK((it.host == gone.host || it.heard + it.spent == doctest::Approx(fleet.granted() + spent)));
            }
        } else {
            fleet.run(6);
            // It was silent: it hears nothing of what was granted meanwhile, as without sums.
            CHECK(gone.heard <= before + 29 * 12 * 5);
        }
        checkComplete(fleet, 30);
        CHECK(fleet.collectors() == 6);
    }
}

TEST_CASE("a collector that hears nobody, or that nobody hears, doesn't hide its data centre")
{
    for (const bool isDeaf : {true, false}) {
        CAPTURE(isDeaf);
        Fleet fleet(30);
        fleet.run(8);
        const auto cut = fleet.collectorOf(2, 0).host;
        fleet.isLost = [=](const HostName &from, const HostName &to) { return (isDeaf ? to : from) == cut; };
        for (int n = 0; n < 12; ++n) {
            fleet.run(1);
            for (auto &it : fleet.gateways) {
                CHECK((it.host == cut || it.view.requestsAt(engine) >= 28));
            }
        }
        fleet.isLost = [](const auto &, const auto &) { return false; };
        fleet.run(10);
        checkComplete(fleet, 30);
        CHECK(fleet.collectors() == 6);
    }
}

TEST_CASE("lost reports delay grants and lose or double none")
{
    Fleet fleet(30);
    fleet.run(8);
    std::uint64_t n = 0;
    fleet.isLost = [&](const HostName &, const HostName &) { return uniformOf(hashOf("loss", ++n)) < 0.1; };
    for (int round = 0; round < 40; ++round) {
        grantEverywhere(fleet, 5);
        fleet.run(1);
    }
    fleet.isLost = [](const auto &, const auto &) { return false; };
    fleet.run(10);
    checkSpending(fleet);
    checkComplete(fleet, 30);
}

TEST_CASE("centre reports of foreign hosts and of earlier runs change nothing")
{
    Fleet fleet(6);
    fleet.run(8);
    auto &view = fleet.gateways.front().view;
    const auto now = fleet.clock.now();
    CentreReport report;
    report.dataCentre = DataCentreName("dc1");
    report.incarnation = 9;
    report.sequenceNumber = 900;
    report.sums.requests[keyOf(engine)] = 500;
    report.collector = HostName("stranger");
    CHECK_FALSE(view.addCentreReport(report, now));
    report.collector = HostName("g0"); // of another data centre
    CHECK_FALSE(view.addCentreReport(report, now));
    report.collector = fleet.collectorOf(1, 0).host;
    report.incarnation = 0;
    CHECK_FALSE(view.addCentreReport(report, now));
    report.incarnation = 1;
    report.sequenceNumber = 1;
    const auto repeated = view.addCentreReport(report, now);
    REQUIRE(repeated);
    CHECK_FALSE(repeated.value().has_value());
    CHECK(view.requestsAt(engine) == 5);
}

// A gateway with an older list of members sends to all; the sums contain its reports as well.
TEST_CASE("a report that comes directly and in a sum is counted once")
{
    Fleet fleet(6);
    fleet.run(8);
    auto &view = fleet.gateways.front().view;
    auto direct = LoadReport {HostName("g1"), 1, 1000, {{engine, 1}}, {{customer, 10}}, {{customer, 0}}};
    view.addReport(direct, fleet.clock.now());
    CHECK(view.requestsAt(engine) == 5);
    direct.isLoadOnly = true;
    direct.sequenceNumber = 1001;
    view.addReport(direct, fleet.clock.now());
    CHECK(view.requestsAt(engine) == 5);
    CHECK(view.ownFractionFor(customer, 10, fleet.clock.now()) == doctest::Approx(1.0 / 6));
}
