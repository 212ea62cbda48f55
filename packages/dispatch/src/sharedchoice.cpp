#include "sharedchoice.h"

#include <algorithm>
#include <numeric>

namespace monsoonward
{

namespace
{

using Seconds = std::chrono::duration<double>;

/// @param sorted indices of @p costs by increasing cost
/// @return the common cost that engines reach when @p requests are distributed over them
Seconds fillLevel(const std::vector<EngineCost> &costs, const std::vector<std::size_t> &sorted, double requests)
{
    double capacity = 0; // requests per second of cost that the engines below the level take
    double filled = 0;
    auto level = costs[sorted.front()].current;
    for (std::size_t n = 0; n < sorted.size(); ++n) {
        const auto &it = costs[sorted[n]];
        const double untilNextEngine = capacity * (it.current - level).count();
        if (filled + untilNextEngine >= requests) {
            break;
        }
        filled += untilNextEngine;
        level = it.current;
        capacity += 1 / it.marginal.count();
    }
    return level + Seconds((requests - filled) / capacity);
}

} // namespace

std::size_t chooseEngine(const std::vector<EngineCost> &costs, double unreported, double uniformHash)
{
    std::vector<std::size_t> sorted(costs.size());
    std::iota(sorted.begin(), sorted.end(), 0);
    std::sort(sorted.begin(), sorted.end(), [&](std::size_t a, std::size_t b) {
        return costs[a].current < costs[b].current;
    });
    if (unreported <= 0) {
        return sorted.front();
    }
    const auto level = fillLevel(costs, sorted, unreported);
    double remaining = uniformHash * unreported;
    for (const auto it : sorted) {
        const double share = (level - costs[it].current) / costs[it].marginal;
        if (remaining < share) {
            return it;
        }
        remaining -= std::max(0.0, share);
    }
    return sorted.front();
}

} // namespace monsoonward
