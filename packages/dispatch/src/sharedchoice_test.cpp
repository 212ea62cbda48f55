#include "sharedchoice.h"

#include <doctest/doctest.h>

using namespace monsoonward;
using namespace std::chrono_literals;

namespace
{

std::vector<unsigned> chosen(const std::vector<EngineCost> &costs, double unreported)
{
    constexpr unsigned requests = 1000;
    std::vector<unsigned> counts(costs.size());
    for (unsigned n = 0; n < requests; ++n) {
        ++counts[chooseEngine(costs, unreported, (n + 0.5) / requests)];
    }
    return counts;
}

} // namespace

TEST_CASE("without unreported requests, the engine with the least cost is chosen")
{
    CHECK(chosen({{20ms, 1ms}, {10ms, 1ms}, {30ms, 1ms}}, 0) == std::vector<unsigned> {0, 1000, 0});
}

TEST_CASE("unreported requests are distributed so that the engines reach equal cost")
{
    CHECK(chosen({{10ms, 1ms}, {10ms, 1ms}}, 4) == std::vector<unsigned> {500, 500});
    // Two requests raise the first engine to the cost of the second; the other two are shared equally.
    CHECK(chosen({{10ms, 1ms}, {12ms, 1ms}}, 4) == std::vector<unsigned> {750, 250});
    // The third engine's cost is above the common level.
    CHECK(chosen({{10ms, 1ms}, {12ms, 1ms}, {14ms, 1ms}}, 4) == std::vector<unsigned> {750, 250, 0});
    // An engine with a lower cost per request takes more of them.
    CHECK(chosen({{10ms, 1ms}, {10ms, 3ms}}, 4) == std::vector<unsigned> {750, 250});
}
