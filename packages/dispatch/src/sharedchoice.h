#pragma once

#include <chrono>
#include <cstddef>
#include <vector>

namespace monsoonward
{

/// @brief One engine that a request may go to.
struct ChoiceCost
{
    std::chrono::duration<double> now {}; ///< expected time there with the load that is known
    std::chrono::duration<double> perRequest {}; ///< what one request more adds to it; greater than zero
};

/// Chooses an engine when other daemons choose at the same time by the same reports. If each took the engine with the
/// least load, all would send there until the next reports. Instead, the requests that nobody knows of yet are thought
/// to fill the engines evenly up to one level, and each engine is chosen by its part in them.
/// @param costs not empty
/// @param unseen requests that the other daemons have placed since their last reports and that still run
/// @param uniformHash 0 to 1, even over requests
/// @return index of the engine: that with the least cost when nothing is unseen
std::size_t chooseAmong(const std::vector<ChoiceCost> &costs, double unseen, double uniformHash);

} // namespace monsoonward
