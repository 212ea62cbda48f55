#pragma once

#include <monsoonward/values/values.h>

#include <string>
#include <vector>

/// Workloads of the decision bench, read from INI files. Durations in milliseconds, rates a second.
namespace monsoonward::bench
{

using Millis = double;

/// @brief Engines that are alike.
struct EngineGroup
{
    std::string name;
    std::size_t count = 1;
    std::string region;
    std::size_t maxBatch = 32;
    double prefillTokensPerSecond = 8000;
    double decodeTokensPerSecond = 60; ///< one request alone
    double batchSlowdown = 0.05; ///< each further request lengthens a decode step by this part
    std::uint64_t cacheTokens = 100000;
};

/// @brief What the callers of one tier send.
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
    double largestCustomerShare = 0; ///< 0: all alike
    std::size_t prefixes = 0;
    std::size_t prefixTokens = 0;
    double prefixShare = 0;
    std::string region;
};

struct Burst
{
    Millis at = 0;
    Millis length = 0;
    unsigned tier = 0;
    double factor = 1;
};

struct Straggler
{
    Millis at = 0;
    Millis length = 0;
    std::string engines;
    std::size_t count = 1;
    double slowdown = 1;
};

struct Crash
{
    Millis at = 0;
    std::string engines;
    std::size_t count = 1;
    Millis restart = 0;
};

struct EntryCrash
{
    Millis at = 0;
    std::size_t count = 1;
    Millis restart = 0;
};

/// @brief The regions can't reach each other for a while.
struct LinkCut
{
    Millis at = 0;
    Millis length = 0;
};

struct Workload
{
    Millis duration = 60000;
    std::size_t entries = 2;
    Millis reportLag = 500;
    Millis linkOneWay = 5;
    double linkBitsPerSecond = 30e6;
    std::vector<EngineGroup> engines;
    std::vector<TierTraffic> tiers; ///< by tier
    std::vector<Burst> bursts;
    std::vector<Straggler> stragglers;
    std::vector<Crash> crashes;
    std::vector<EntryCrash> entryCrashes;
    std::vector<LinkCut> cuts;
};

/// Reads a workload. An unknown section or key, or a malformed value, is an error that names it.
Result<Workload> readWorkload(const std::string &path);

Duration fromMillis(Millis n);

} // namespace monsoonward::bench
