#pragma once

#include "limitkeeper.h"

namespace monsoonward
{

/// @brief A simulated fleet whose engines all state the same limit.
struct LimitScenario
{
    LimitMethod method = LimitMethod::Divided;
    unsigned gateways = 4;
    unsigned engines = 3;
    double limit = 5; ///< of each engine, in requests per second
    double requestsPerSecond =
        60; ///< of all callers, unevenly over the gateways; other gateways get most of them later
    Duration length = std::chrono::seconds(40);
    Duration pause {}; ///< at the start, without requests; buckets are full afterwards
    Duration reportInterval = std::chrono::milliseconds(50);
    Duration maxReportDelay = std::chrono::milliseconds(20);
    double lostReports = 0.05; ///< fraction
    std::uint64_t seed = 1;
    MONSOONWARD_FIELDS(method,
                       gateways,
                       engines,
                       limit,
                       requestsPerSecond,
                       length,
                       pause,
                       reportInterval,
                       maxReportDelay,
                       lostReports,
                       seed)
};

/// @brief What the engines got.
struct LimitResult
{
    /// Largest number of requests in a window, relative to what is allowed there; above 1 the limit is broken.
    double worstWindow = 0;
    double usedFraction = 0; ///< of what the limits allow
    MONSOONWARD_FIELDS(worstWindow, usedFraction)
};

LimitResult simulateLimits(const LimitScenario &scenario);

} // namespace monsoonward
