#include "sharedchoice.h"

#include <algorithm>
#include <numeric>

namespace monsoonward
{

namespace
{

using Seconds = std::chrono::duration<double>;

/// @return the cost up to which @p requests fill the engines, which are sorted by cost
Seconds levelOf(const std::vector<ChoiceCost> &costs, const std::vector<std::size_t> &sorted, double requests)
{
    double room = 0; // requests for each second of cost, of the engines below the level
    double held = 0;
    auto level = costs[sorted.front()].now;
    for (std::size_t n = 0; n < sorted.size(); ++n) {
        const auto &it = costs[sorted[n]];
        const double untilNext = room * (it.now - level).count();
        if (held + untilNext >= requests) {
            break;
        }
        held += untilNext;
        level = it.now;
        room += 1 / it.perRequest.count();
    }
    return level + Seconds((requests - held) / room);
}

} // namespace

std::size_t chooseAmong(const std::vector<ChoiceCost> &costs, double unseen, double uniformHash)
{
    std::vector<std::size_t> sorted(costs.size());
    std::iota(sorted.begin(), sorted.end(), 0);
    std::sort(sorted.begin(), sorted.end(), [&](std::size_t a, std::size_t b) { return costs[a].now < costs[b].now; });
    if (unseen <= 0) {
        return sorted.front();
    }
    const auto level = levelOf(costs, sorted, unseen);
    double left = uniformHash * unseen;
    for (const auto it : sorted) {
        const double part = (level - costs[it].now) / costs[it].perRequest;
        if (left < part) {
            return it;
        }
        left -= std::max(0.0, part);
    }
    return sorted.front();
}

} // namespace monsoonward
