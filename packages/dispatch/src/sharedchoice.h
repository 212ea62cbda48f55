#pragma once

#include <chrono>
#include <cstddef>
#include <vector>

namespace monsoonward
{

/// @brief The cost of sending a request to one engine.
struct EngineCost
{
    std::chrono::duration<double> current {}; ///< expected time with the known load, plus penalties
    std::chrono::duration<double> marginal {}; ///< increase for each further request; greater than zero
};

/// Chooses an engine while other daemons choose from the same load reports. If each took the engine with the least
/// cost, all would send their requests there until the next reports. Instead, the unreported requests are distributed
/// over the engines so that the cheapest ones end up at equal cost ("water filling"), and each engine is chosen with a
/// probability in proportion to its share of them.
/// @param costs must not be empty
/// @param unreported requests that the other daemons place until the next reports
/// @param uniformHash 0 to 1, uniformly distributed over requests
/// @return index of the engine; that with the least cost if @p unreported is 0
std::size_t chooseEngine(const std::vector<EngineCost> &costs, double unreported, double uniformHash);

} // namespace monsoonward
