#include "sharedchoice.h"

#include <doctest/doctest.h>

using namespace monsoonward;
using namespace std::chrono_literals;

namespace
{

std::vector<unsigned> chosen(const std::vector<ChoiceCost> &costs, double unseen)
{
    constexpr unsigned requests = 1000;
    std::vector<unsigned> counts(costs.size());
    for (unsigned n = 0; n < requests; ++n) {
        ++counts[chooseAmong(costs, unseen, (n + 0.5) / requests)];
    }
    return counts;
}

} // namespace

TEST_CASE("when nothing is unseen, the least cost is chosen")
{
    CHECK(chosen({{20ms, 1ms}, {10ms, 1ms}, {30ms, 1ms}}, 0) == std::vector<unsigned> {0, 1000, 0});
}

TEST_CASE("unseen requests fill the engines evenly up to one level")
{
    CHECK(chosen({{10ms, 1ms}, {10ms, 1ms}}, 4) == std::vector<unsigned> {500, 500});
    // Two fill the first up to the second, the other two go to both.
    CHECK(chosen({{10ms, 1ms}, {12ms, 1ms}}, 4) == std::vector<unsigned> {750, 250});
    // The third is above the level.
    CHECK(chosen({{10ms, 1ms}, {12ms, 1ms}, {14ms, 1ms}}, 4) == std::vector<unsigned> {750, 250, 0});
    // An engine on which a request costs less takes more of them.
    CHECK(chosen({{10ms, 1ms}, {10ms, 3ms}}, 4) == std::vector<unsigned> {750, 250});
}
