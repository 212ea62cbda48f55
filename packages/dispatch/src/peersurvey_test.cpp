#include "monsoonward/dispatch/dispatch.h"

#include <doctest/doctest.h>

using namespace monsoonward;
using namespace std::chrono_literals;

namespace
{

const HostName own("a");
const std::vector<HostName> members {HostName("a"), HostName("b"), HostName("c")};

LoadReport reportOf(const std::string &host)
{
    LoadReport report;
    report.host = HostName(host);
    report.incarnation = 1;
    report.sequenceNumber = 1;
    return report;
}

} // namespace

// A gateway that started after a restore of the store served a withdrawn key, which its peers refused.
TEST_CASE("a daemon that starts waits until each listed peer has reported")
{
    VirtualClock clock;
    FleetView fleet {own};
    PeerSurvey survey {own};
    CHECK_FALSE(survey.isComplete(fleet, clock.now()));
    fleet.setMembers(members, clock.now());
    survey.membersListed(members, clock.now());
    CHECK_FALSE(survey.isComplete(fleet, clock.now()));
    fleet.addReport(reportOf("b"), clock.now());
    CHECK_FALSE(survey.isComplete(fleet, clock.now()));
    fleet.addReport(reportOf("c"), clock.now());
    CHECK(survey.isComplete(fleet, clock.now()));
    clock.advance(1min); // a peer that falls silent later begins no new survey
    CHECK(survey.isComplete(fleet, clock.now()));
}

TEST_CASE(
    "a peer that doesn't report delays the start no longer than the timeout, and nobody delays it before the list")
{
    VirtualClock clock;
    FleetView fleet {own};
    PeerSurvey survey {own};
    clock.advance(1min);
    CHECK_FALSE(survey.isComplete(fleet, clock.now())); // the list of daemons hasn't been read
    fleet.setMembers(members, clock.now());
    survey.membersListed(members, clock.now());
    clock.advance(PeerSurvey::answerTimeout - 1ms);
    survey.membersListed(members, clock.now()); // a changed list doesn't begin the time anew
    CHECK_FALSE(survey.isComplete(fleet, clock.now()));
    clock.advance(1ms);
    CHECK(survey.isComplete(fleet, clock.now()));
}

TEST_CASE("a daemon that can't read the list of daemons proves after a bounded time, and still asks")
{
    VirtualClock clock;
    FleetView fleet {own};
    PeerSurvey survey {own};
    CHECK_FALSE(survey.mayProve(fleet, clock.now()));
    clock.advance(PeerSurvey::maxWait - 1ms);
    CHECK_FALSE(survey.mayProve(fleet, clock.now()));
    clock.advance(1ms);
    CHECK(survey.mayProve(fleet, clock.now()));
    CHECK_FALSE(survey.hasEnded());
    survey.membersListed(members, clock.now()); // what the peers hold counts once they can be asked
    CHECK_FALSE(survey.mayProve(fleet, clock.now()));
}

TEST_CASE("a daemon without peers doesn't wait")
{
    VirtualClock clock;
    PeerSurvey survey {own};
    survey.membersListed({own}, clock.now());
    CHECK(survey.isComplete(FleetView {own}, clock.now()));
    CHECK(survey.hasEnded());
}
