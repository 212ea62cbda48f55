#pragma once

#include <monsoonward/values/values.h>

namespace monsoonward
{

/// @brief Number of prompt tokens in one prefix block. The n-th PrefixHash of a request covers its first n blocks.
constexpr std::uint32_t prefixBlockTokens = 256;

/// @brief What an entry knows about a request on arrival. @c deadline is on the entry's clock.
struct RequestSpec
{
    RequestId id;
    CustomerName customer;
    double weight = 1; ///< the customer's weight in fair sharing within the tier
    ServiceName service;
    Tier tier;
    TimePoint deadline {};
    bool idempotent = true;
    std::string idempotencyKey; ///< empty if none
    std::uint32_t promptTokens = 0; ///< estimated
    std::uint32_t outputTokens = 0; ///< estimated; 0 if unknown
    std::vector<PrefixHash> prefixes;
    Fingerprint fingerprint = 0;
    std::uint64_t bodyBytes = 0;
    MONSOONWARD_FIELDS(id,
                       customer,
                       weight,
                       service,
                       tier,
                       deadline,
                       idempotent,
                       idempotencyKey,
                       promptTokens,
                       outputTokens,
                       prefixes,
                       fingerprint,
                       bodyBytes)
};

/// @brief Token counts and times of one request on an engine. Durations are measured on the target's clock.
struct RunStats
{
    std::uint32_t promptTokens = 0;
    std::uint32_t cachedTokens = 0;
    std::uint32_t outputTokens = 0;
    Duration toFirstToken {};
    Duration total {};
    bool failed = false; ///< the engine broke off the answer or couldn't be reached
    MONSOONWARD_FIELDS(promptTokens, cachedTokens, outputTokens, toFirstToken, total, failed)
};

} // namespace monsoonward
