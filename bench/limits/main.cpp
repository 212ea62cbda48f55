// Compares ways to keep the limits that engines state over all gateways, by the number of gateways.
#include "limitsimulation.h"

#include <algorithm>
#include <cstdio>

using namespace monsoonward;

namespace
{

constexpr unsigned seeds = 3;

struct Fleet
{
    unsigned gateways;
    unsigned engines;
    double requestsPerSecond;
    Duration reportInterval; // between full reports, as LoadReports sends them to so many peers
};

const std::vector<Fleet> fleets {{4, 3, 60, std::chrono::milliseconds(50)},
                                 {22, 10, 400, std::chrono::milliseconds(210)},
                                 {68, 20, 1000, std::chrono::milliseconds(400)}};
constexpr LimitMethod methods[] {
    LimitMethod::Separate, LimitMethod::Even, LimitMethod::CopiedBucket, LimitMethod::Divided};

/// @return the worst window and the mean used fraction over the seeds
LimitResult measure(LimitScenario scenario)
{
    LimitResult result;
    for (scenario.seed = 1; scenario.seed <= seeds; ++scenario.seed) {
        const auto one = simulateLimits(scenario);
        result.worstWindow = std::max(result.worstWindow, one.worstWindow);
        result.usedFraction += one.usedFraction / seeds;
    }
    return result;
}

} // namespace

int main()
{
    std::printf("| gateways | limit | method | worst window | used | worst window after a pause "
                "|\n|---|---|---|---|---|---|\n");
    for (const auto &fleet : fleets) {
        for (const double limit : {0.5, 2.0, 6.0, 20.0}) {
            for (const auto method : methods) {
                LimitScenario scenario;
                scenario.method = method;
                scenario.gateways = fleet.gateways;
                scenario.engines = fleet.engines;
                scenario.limit = limit;
                // More than the limits allow, so that gateways use all that they may.
                scenario.requestsPerSecond = std::max(fleet.requestsPerSecond, 2 * limit * fleet.engines);
                scenario.reportInterval = fleet.reportInterval;
                const auto steady = measure(scenario);
                scenario.pause = std::chrono::seconds(10);
                scenario.length = std::chrono::seconds(8);
                const auto paused = measure(scenario);
                std::printf("| %u | %g | %s | %.2f | %.2f | %.2f |\n",
                            fleet.gateways,
                            limit,
                            textOf(method).c_str(),
                            steady.worstWindow,
                            steady.usedFraction,
                            paused.worstWindow);
            }
        }
    }
    return 0;
}
