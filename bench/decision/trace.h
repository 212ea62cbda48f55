#pragma once

#include "workload.h"

#include <vector>

namespace monsoonward::bench
{

/// @brief One request of a workload; the same for every policy.
struct Job
{
    std::size_t index = 0;
    TimePoint arrival {};
    TimePoint deadline {};
    unsigned tier = 0;
    std::string region; ///< empty: any
    CustomerName customer;
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;
    std::vector<PrefixHash> blocks; ///< one a whole block of the prompt
    std::uint64_t balance = 0; ///< random bits for the balancer
};

/// @return the requests in order of arrival, starting at @p start
std::vector<Job> makeTrace(const Workload &workload, TimePoint start, std::uint64_t seed);

} // namespace monsoonward::bench
