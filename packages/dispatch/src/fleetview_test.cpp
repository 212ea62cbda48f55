#include "monsoonward/dispatch/dispatch.h"

#include <doctest/doctest.h>

using namespace monsoonward;
using namespace std::chrono_literals;

namespace
{

const CustomerName customer("c");
const EngineName engine("e");

LoadReport reportOf(const std::string &host, std::uint64_t sequenceNumber, double demand, std::uint32_t requests)
{
    return {HostName(host),
            1,
            sequenceNumber,
            {{engine, requests}},
            {{customer, demand}},
            {{customer, 100.0 * sequenceNumber}}};
}

} // namespace

TEST_CASE("the daemons' fractions of a limit are proportional to demand and add up to one")
{
    VirtualClock clock;
    const std::vector<HostName> members {HostName("a"), HostName("b"), HostName("c")};
    const std::map<std::string, double> demands {{"a", 100}, {"b", 300}, {"c", 0}};
    double sum = 0;
    for (const auto &own : demands) {
        FleetView view {HostName(own.first)};
        view.setMembers(members, clock.now());
        for (const auto &it : demands) {
            view.addReport(reportOf(it.first, 1, it.second, 1), clock.now());
        }
        const auto share = view.ownFractionFor(customer, own.second, clock.now());
        CHECK(share > 0);
        sum += share;
    }
    CHECK(sum == doctest::Approx(1));
}

TEST_CASE("daemons cut off from each other may together spend no more than the limit")
{
    VirtualClock clock;
    FleetView isolated {HostName("a")};
    FleetView rest {HostName("b")};
    const std::vector<HostName> members {HostName("a"), HostName("b"), HostName("c"), HostName("d")};
    isolated.setMembers(members, clock.now());
    rest.setMembers(members, clock.now());
    CHECK(isolated.reportingFraction(clock.now()) == doctest::Approx(0.25));
    rest.addReport(reportOf("c", 1, 0, 0), clock.now());
    rest.addReport(reportOf("d", 1, 0, 0), clock.now());
    CHECK(rest.reportingFraction(clock.now()) == doctest::Approx(0.75));
    CHECK(rest.ownFractionFor(customer, 1000, clock.now()) > 0.9);
    clock.advance(2s);
    CHECK(rest.reportingFraction(clock.now()) == doctest::Approx(0.25));
    CHECK(rest.ownFractionFor(customer, 1000, clock.now()) == doctest::Approx(1));
}

TEST_CASE("units granted by another daemon are returned once, except those granted while it was silent")
{
    VirtualClock clock;
    FleetView view {HostName("a")};
    view.setMembers({HostName("a"), HostName("b")}, clock.now());
    const auto first = view.addReport(reportOf("b", 1, 0, 0), clock.now());
    REQUIRE(first);
    CHECK(first->wasSilent);
    CHECK(first->spent.at(customer) == doctest::Approx(100)); // a new incarnation has granted nothing before
    CHECK(view.addReport(reportOf("b", 3, 0, 0), clock.now())->spent.at(customer) == doctest::Approx(200));
    clock.advance(3s);
    const auto afterSilence = view.addReport(reportOf("b", 9, 0, 0), clock.now());
    REQUIRE(afterSilence);
    CHECK(afterSilence->spent.empty());
    CHECK(view.addReport(reportOf("b", 10, 0, 0), clock.now())->spent.at(customer) == doctest::Approx(100));
}

TEST_CASE("a restarted daemon doesn't count units that the others granted before it started")
{
    VirtualClock clock;
    FleetView restarted {HostName("a")};
    restarted.setMembers({HostName("a"), HostName("b")}, clock.now());
    auto report = reportOf("b", 5000, 0, 0);
    report.uptime = 1h;
    const auto first = restarted.addReport(report, clock.now());
    REQUIRE(first);
    CHECK(first->spent.empty());
    report.sequenceNumber = 5001;
    report.spent[customer] += 70;
    CHECK(restarted.addReport(report, clock.now())->spent.at(customer) == doctest::Approx(70));
    // The same holds for a daemon that was dropped from the list of members for a while.
    restarted.setMembers({HostName("a")}, clock.now());
    restarted.setMembers({HostName("a"), HostName("b")}, clock.now());
    report.sequenceNumber = 5002;
    CHECK(restarted.addReport(report, clock.now())->spent.empty());
}

TEST_CASE("request counts of other daemons are added once and removed when the daemon becomes silent or leaves")
{
    VirtualClock clock;
    FleetView view {HostName("a")};
    view.setMembers({HostName("a"), HostName("b"), HostName("c")}, clock.now());
    CHECK(view.addReport(reportOf("b", 2, 0, 5), clock.now()).has_value());
    CHECK_FALSE(view.addReport(reportOf("b", 1, 0, 9), clock.now()));
    CHECK(view.addReport(reportOf("c", 1, 0, 2), clock.now()));
    CHECK_FALSE(view.addReport(reportOf("stranger", 1, 0, 2), clock.now()));
    CHECK(view.requestsAt(engine) == 7);
    CHECK(view.addReport(reportOf("b", 3, 0, 1), clock.now()));
    CHECK(view.requestsAt(engine) == 3);
    view.setMembers({HostName("a"), HostName("b")}, clock.now());
    CHECK(view.requestsAt(engine) == 1);
    CHECK(view.size() == 3); // the stranger reports, so it shares the limits
    clock.advance(2s);
    view.expire(clock.now());
    CHECK(view.requestsAt(engine) == 0);
    CHECK(view.size() == 2);
    CHECK(view.silentFor(2s, clock.now()) == std::vector<HostName> {HostName("b")});
}

TEST_CASE("a load-only report updates request counts and keeps the demand and spent units of the last full report")
{
    VirtualClock clock;
    FleetView view {HostName("a")};
    view.setMembers({HostName("a"), HostName("b")}, clock.now());
    LoadReport loadOnly {HostName("b"), 1, 1, {{engine, 9}}, {}, {}, true};
    view.addReport(loadOnly, clock.now());
    CHECK(view.requestsAt(engine) == 0); // b has sent no full report yet
    view.addReport(reportOf("b", 2, 300, 4), clock.now());
    loadOnly.sequenceNumber = 3;
    view.addReport(loadOnly, clock.now());
    CHECK(view.requestsAt(engine) == 9);
    CHECK(view.ownFractionFor(customer, 100, clock.now()) == doctest::Approx(0.275));
    const auto changes = view.addReport(reportOf("b", 4, 300, 1), clock.now());
    REQUIRE(changes);
    CHECK(changes->spent.at(customer) == doctest::Approx(200));
    CHECK(view.requestsAt(engine) == 1);
    clock.advance(FleetView::silenceTimeout + 1ms);
    loadOnly.sequenceNumber = 5;
    view.addReport(loadOnly, clock.now());
    CHECK_FALSE(view.isReporting(HostName("b"), clock.now()));
}

TEST_CASE("a daemon that reports before it is listed as a member shares the limits")
{
    VirtualClock clock;
    FleetView view {HostName("a")};
    view.setMembers({HostName("a"), HostName("b")}, clock.now());
    view.addReport(reportOf("b", 1, 100, 0), clock.now());
    CHECK(view.reportingFraction(clock.now()) == doctest::Approx(1));
    view.addReport(reportOf("c", 1, 100, 5), clock.now());
    CHECK(view.size() == 3);
    CHECK(view.reportingFraction(clock.now()) == doctest::Approx(2.0 / 3));
    CHECK(view.requestsAt(engine) == 0);
    view.setMembers({HostName("a"), HostName("b"), HostName("c")}, clock.now());
    CHECK(view.size() == 3);
    view.setMembers({HostName("a"), HostName("b")}, clock.now());
    view.addReport(reportOf("c", 2, 100, 5), clock.now());
    clock.advance(FleetView::silenceTimeout + 1ms);
    view.expire(clock.now());
    CHECK(view.size() == 2);
}

TEST_CASE("a revision is the newest one only if the store holds it and no reporting daemon holds a higher one")
{
    VirtualClock clock;
    FleetView view {HostName("a")};
    view.setMembers({HostName("b"), HostName("c")}, clock.now());
    auto report = reportOf("b", 1, 0, 1);
    report.knowledge = {2, 40, 5000, 100, 7};
    view.addReport(report, clock.now());
    report.host = HostName("c");
    report.knowledge = {1, 41, 9000, 300, 9};
    view.addReport(report, clock.now());
    CHECK(view.highestRevision(clock.now()) == 41);
    // A daemon restarted after a restore reads an older configuration than its peers hold, with keys taken away since.
    CHECK_FALSE(view.isNewestRevision(40, 40));
    CHECK_FALSE(view.isNewestRevision(41, 40)); // the store was restored and doesn't hold 41 yet
    CHECK(view.isNewestRevision(41, 41));
    clock.advance(FleetView::silenceTimeout + 1ms);
    CHECK(view.highestRevision(clock.now()) == 0);
    CHECK_FALSE(view.isNewestRevision(40, 40)); // what a daemon that fell silent had in force stays in force
    auto unlisted = reportOf("d", 1, 0, 1); // a restored store may have lost its row
    unlisted.knowledge.revision = 42;
    CHECK_FALSE(view.addReport(unlisted, clock.now()));
    CHECK_FALSE(view.isNewestRevision(41, 41));
}

TEST_CASE("an engine is reported leaving as long as one daemon that reports says so")
{
    VirtualClock clock;
    FleetView view {HostName("a")};
    view.setMembers({HostName("b"), HostName("c")}, clock.now());
    auto report = reportOf("b", 1, 0, 2);
    report.leavingEngines = {engine};
    view.addReport(report, clock.now());
    report.host = HostName("c");
    view.addReport(report, clock.now());
    LoadReport loadOnly {HostName("c"), 1, 2, {{engine, 5}}, {}, {}, true};
    view.addReport(loadOnly, clock.now());
    CHECK(view.isReportedLeaving(engine));
    CHECK(view.requestsAt(engine) == 7);
    view.addReport(reportOf("b", 2, 0, 2), clock.now());
    CHECK(view.isReportedLeaving(engine)); // c still says so
    view.addReport(reportOf("c", 3, 0, 2), clock.now());
    CHECK_FALSE(view.isReportedLeaving(engine));
    report.sequenceNumber = 4;
    view.addReport(report, clock.now());
    CHECK(view.isReportedLeaving(engine));
    clock.advance(FleetView::silenceTimeout + 1ms);
    view.expire(clock.now());
    CHECK_FALSE(view.isReportedLeaving(engine));
}

TEST_CASE("one daemon has the first duty rank; when it falls silent, another one has")
{
    VirtualClock clock;
    const std::vector<HostName> hosts {HostName("a"), HostName("b"), HostName("c")};
    const auto firstAmong = [&](const std::vector<HostName> &reporting) {
        std::vector<HostName> first;
        for (const auto &own : reporting) {
            FleetView view {own};
            view.setMembers(hosts, clock.now());
            for (const auto &it : reporting) {
                view.addReport(reportOf(it.text(), 1, 0, 1), clock.now());
            }
            if (view.dutyRank(hosts, clock.now()) == 0) {
                first.push_back(own);
            }
        }
        return first;
    };
    const auto all = firstAmong(hosts);
    REQUIRE(all.size() == 1);
    auto rest = hosts;
    rest.erase(std::find(rest.begin(), rest.end(), all.front()));
    CHECK(firstAmong(rest).size() == 1);
}

TEST_CASE("a daemon that started again is heard after a silence, however late the last report of its former run came")
{
    VirtualClock clock;
    FleetView view {HostName("a")};
    view.setMembers({HostName("b")}, clock.now());
    auto former = reportOf("b", 5, 0, 3);
    former.uptime = 5s; // it lay in a buffer for half a minute while this daemon was stopped
    CHECK(view.addReport(former, clock.now()));
    clock.advance(FleetView::silenceTimeout + 1ms);
    auto restarted = reportOf("b", 1, 0, 1);
    restarted.incarnation = former.incarnation + 1;
    restarted.uptime = 25s;
    CHECK(view.addReport(restarted, clock.now()));
    CHECK(view.requestsAt(engine) == 1);
}

TEST_CASE("a daemon that starts again while its time of day is behind is heard at once")
{
    VirtualClock clock;
    FleetView view {HostName("a")};
    view.setMembers({HostName("b")}, clock.now());
    auto former = reportOf("b", 900, 0, 3);
    former.incarnation = 1'000'000;
    former.uptime = 60s;
    CHECK(view.addReport(former, clock.now()));
    clock.advance(700ms); // it was killed, and its process started 300 ms ago
    auto restarted = reportOf("b", 1, 0, 1);
    restarted.incarnation = 400'000;
    restarted.uptime = 300ms;
    CHECK(view.addReport(restarted, clock.now()));
    CHECK(view.requestsAt(engine) == 1);
    restarted.sequenceNumber = 2;
    CHECK(view.addReport(restarted, clock.now()));
    former.sequenceNumber = 901; // a late report of the run that had ended has a longer uptime than the time since
    CHECK_FALSE(view.addReport(former, clock.now()));
}
