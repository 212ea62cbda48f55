#include "rolloutcodec.h"

#include <doctest/doctest.h>

using namespace monsoonward;

TEST_CASE("reports of roll-outs are whole after a transfer, and malformed ones are rejected")
{
    RolloutReport report {7, 9, true, false, {}};
    report.routes[1].newVersion.failures = 3;
    report.routes[1].newVersion.times[25] = 4;
    report.routes[2].oldVersion.times[0] = 70000;
    const std::vector<RolloutReport> sent {report, {8, 9, false, true, {}}};
    auto numbers = numbersOf(sent);
    CHECK(rolloutReports(numbers) == sent);
    numbers.pop_back();
    CHECK_FALSE(rolloutReports(numbers));
    CHECK_FALSE(rolloutReports({7, 9, 0, 1U << 31U}));
    CHECK_FALSE(rolloutReports({7, 9, 0}));
}

TEST_CASE("the size of a report is bounded however many routes there are")
{
    RolloutReport report;
    for (RouteKey it = 0; it < 1000; ++it) {
        report.routes[it] = {};
    }
    const auto received = rolloutReports(numbersOf({report, report}));
    REQUIRE(received);
    CHECK((*received)[0].routes.size() == maxReportedRoutes);
    CHECK((*received)[1].routes.empty());
}
