#pragma once

#include <monsoonward/values/values.h>

#include <array>
#include <cstdint>
#include <map>
#include <vector>

namespace monsoonward
{

/// Hash of a route's name.
using RouteKey = std::uint64_t;

/// @brief Answers of one version to requests of one route. Those of several gateways are added.
struct AnswerCounts
{
    static constexpr std::size_t bucketCount = 26; ///< half octaves from 1 ms; the last one begins at 5.8 s
    std::uint32_t failures = 0; ///< the engine answered with a failure or broke off, or no answer came in time
    std::array<std::uint32_t, bucketCount> times {}; ///< good answers by the time to their first bytes
    MONSOONWARD_FIELDS(failures, times)

    static std::size_t bucketOf(Duration time);
    std::uint32_t good() const;
    std::uint32_t all() const;
    /// @return good answers in buckets from @p bucket
    std::uint32_t from(std::size_t bucket) const;
    /// @return the first bucket above that of the quantile; bucketCount if there are no good answers
    std::size_t bucketAbove(double quantile) const;
    void add(const AnswerCounts &other);
    /// @return what was added since @p former; all of it if a number has decreased
    AnswerCounts since(const AnswerCounts &former) const;
    /// Keeps a fraction of each count, so that recent answers weigh more.
    void decay(double factor);
};

/// @brief Answers to requests of one route during a roll-out.
struct RouteCounts
{
    AnswerCounts newVersion;
    AnswerCounts oldVersion;
    MONSOONWARD_FIELDS(newVersion, oldVersion)
};

/// @brief What a gateway tells the others about one roll-out.
struct RolloutReport
{
    std::uint64_t orderId = 0;
    std::uint64_t serviceHash = 0;
    bool isBad = false; ///< the gateway found the version bad, or heard so
    bool hasStoppedOld = false; ///< the gateway sends nothing new to the old version
    std::map<RouteKey, RouteCounts> routes; ///< since the gateway read the order
    MONSOONWARD_FIELDS(orderId, serviceHash, isBad, hasStoppedOld, routes)
};

} // namespace monsoonward
