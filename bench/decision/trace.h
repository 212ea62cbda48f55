#pragma once

#include "workload.h"

#include <vector>

namespace monsoonward::bench
{

/// @brief One simulated request. All policies get the same requests for the same workload and seed.
struct Job
{
    std::size_t index = 0;
    TimePoint arrival {};
    TimePoint deadline {};
    unsigned tier = 0;
    std::string region; ///< of the entries it is sent to; empty: any
    CustomerName customer;
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;
    std::vector<PrefixHash> blocks; ///< one hash for each whole block of the prompt
    std::uint64_t balance = 0; ///< random number by which the load balancer picks an entry
};

/// Generates the requests of a workload as a Poisson process for each tier.
/// @return the requests in order of arrival; times count from @p start
std::vector<Job> makeTrace(const Workload &workload, TimePoint start, std::uint64_t seed);

} // namespace monsoonward::bench
