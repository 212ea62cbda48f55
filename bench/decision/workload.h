#pragma once

#include <monsoonward/values/values.h>

#include <string>
#include <vector>

/// Workloads of the decision benchmark, read from INI files. Durations are in milliseconds, rates per second.
namespace monsoonward::bench
{

using Millis = double;

/// @brief A group of engines with the same properties.
struct EngineGroup
{
    std::string name;
    std::size_t count = 1;
    std::string region;
    std::size_t maxBatch = 32;
    double prefillTokensPerSecond = 8000;
    double decodeTokensPerSecond = 60; ///< of a request that decodes alone
    double batchSlowdown = 0.05; ///< each further request of the batch lengthens a decode step by this fraction
    std::uint64_t cacheTokens = 100000;
};

/// @brief The requests that callers send in one tier.
struct TierTraffic
{
    unsigned tier = 0;
    double ratePerSecond = 1;
    Millis deadline = 10000;
    double promptMin = 100;
    double promptMax = 100;
    double outputMin = 10;
    double outputMax = 10;
    std::size_t customers = 1;
    double largestCustomerShare = 0; ///< share of the requests; 0: all customers send equally much
    std::size_t prefixes = 0;
    std::size_t prefixTokens = 0;
    double prefixShare = 0;
    std::string region;
};

/// @brief Multiplies a tier's request rate for a while.
struct Burst
{
    Millis at = 0;
    Millis length = 0;
    unsigned tier = 0;
    double factor = 1;
};

/// @brief Slows down the first engines of a group for a while.
struct Straggler
{
    Millis at = 0;
    Millis length = 0;
    std::string engines;
    std::size_t count = 1;
    double slowdown = 1;
};

/// @brief Crashes the first engines of a group; each starts again after a while.
struct Crash
{
    Millis at = 0;
    std::string engines;
    std::size_t count = 1;
    Millis restart = 0;
};

/// @brief Crashes the first entries; each starts again after a while.
struct EntryCrash
{
    Millis at = 0;
    std::size_t count = 1;
    Millis restart = 0;
};

/// @brief Cuts the link between the regions for a while.
struct LinkCut
{
    Millis at = 0;
    Millis length = 0;
};

/// @brief The fleet, its load and its faults in one simulated run.
struct Workload
{
    Millis duration = 60000;
    std::size_t entries = 2;
    Millis reportLag = 500;
    Millis linkOneWay = 5;
    double linkBitsPerSecond = 30e6;
    std::vector<EngineGroup> engines;
    std::vector<TierTraffic> tiers; ///< sorted by tier
    std::vector<Burst> bursts;
    std::vector<Straggler> stragglers;
    std::vector<Crash> crashes;
    std::vector<EntryCrash> entryCrashes;
    std::vector<LinkCut> cuts;
};

/// Reads a workload from an INI file. The error names the unknown section or key, or the invalid value.
Result<Workload> readWorkload(const std::string &path);

Duration fromMillis(Millis n);

} // namespace monsoonward::bench
