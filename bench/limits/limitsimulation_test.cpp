#include "limitsimulation.h"

#include <doctest/doctest.h>

using namespace monsoonward;
using namespace std::chrono_literals;

namespace
{

LimitScenario scenarioOf(unsigned gateways, unsigned engines, double limit, Duration reportInterval)
{
    LimitScenario scenario;
    scenario.gateways = gateways;
    scenario.engines = engines;
    scenario.limit = limit;
    scenario.requestsPerSecond = 20.0 * gateways + 2 * limit * engines;
    scenario.reportInterval = reportInterval;
    scenario.length = 20s;
    return scenario;
}

} // namespace

// With a token at each of many gateways, a low limit was exceeded by far.
TEST_CASE("4 to 68 gateways together keep the limits of engines and use most of them")
{
    for (auto scenario : {scenarioOf(4, 3, 0.5, 50ms),
                          scenarioOf(4, 3, 6, 50ms),
                          scenarioOf(22, 6, 6, 210ms),
                          scenarioOf(68, 8, 1, 400ms),
                          scenarioOf(68, 8, 6, 400ms)}) {
        for (scenario.seed = 1; scenario.seed <= 2; ++scenario.seed) {
            CAPTURE(scenario.gateways);
            CAPTURE(scenario.limit);
            CAPTURE(scenario.seed);
            const auto result = simulateLimits(scenario);
            CHECK(result.worstWindow <= 1);
            CHECK(result.usedFraction > 0.75);
        }
    }
}

TEST_CASE("a burst after a pause keeps the limits of engines")
{
    for (auto scenario : {scenarioOf(4, 3, 2, 50ms), scenarioOf(22, 6, 20, 210ms), scenarioOf(68, 8, 6, 400ms)}) {
        scenario.pause = 10s;
        scenario.length = 8s;
        CAPTURE(scenario.gateways);
        CHECK(simulateLimits(scenario).worstWindow <= 1);
    }
}

TEST_CASE("the simulation tells a method that exceeds the limits")
{
    auto scenario = scenarioOf(22, 6, 6, 210ms);
    scenario.method = LimitMethod::Separate;
    CHECK(simulateLimits(scenario).worstWindow > 2);
}
