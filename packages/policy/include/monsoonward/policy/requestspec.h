#pragma once

#include <monsoonward/values/values.h>

namespace monsoonward
{

/// @brief Prompt tokens that each PrefixHash of a request covers beyond the one before it.
constexpr std::uint32_t prefixBlockTokens = 256;

/// @brief What an entry knows of a request when it arrives. @c deadline is on the entry's clock.
struct RequestSpec
{
    RequestId id;
    CustomerName customer;
    double weight = 1; ///< the customer's share within the tier
    ServiceName service;
    Tier tier;
    TimePoint deadline {};
    bool idempotent = true;
    std::string idempotencyKey; ///< empty: none
    std::uint32_t promptTokens = 0; ///< estimate
    std::uint32_t outputTokens = 0; ///< estimate
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

/// @brief What an engine did for one request; durations on the target's clock.
struct RunStats
{
    std::uint32_t promptTokens = 0;
    std::uint32_t cachedTokens = 0;
    std::uint32_t outputTokens = 0;
    Duration toFirstToken {};
    Duration total {};
    bool failed = false; ///< the engine broke off or couldn't be reached
    MONSOONWARD_FIELDS(promptTokens, cachedTokens, outputTokens, toFirstToken, total, failed)
};

} // namespace monsoonward
