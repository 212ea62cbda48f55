#pragma once

#include "monsoonward/dispatch/servingconfiguration.h"

#include <map>

namespace monsoonward
{

/// @brief This daemon's share of a customer's limit.
struct RateLimitShare
{
    double reportingFraction = 1; ///< fraction of the limit for this daemon and those whose reports it receives
    double ownFraction = 1; ///< this daemon's fraction of what they may spend together
    double unreportedUnits = 0; ///< units that the customer requests from other daemons between two of their reports
    MONSOONWARD_FIELDS(reportingFraction, ownFraction, unreportedUnits)
};

/// @brief By how much a customer's requests may exceed its limit, since daemons count separately.
struct RateLimitTolerance
{
    double ratio = 0; ///< of the limit
    double units = 0; ///< additional units in a window of a few seconds
    MONSOONWARD_FIELDS(ratio, units)
};

/// @brief Enforces customers' rate limits over all daemons. Each daemon holds a copy of one token bucket per customer.
/// It subtracts what it grants at once, and what other daemons grant when their reports arrive.
///
/// While a bucket is well filled, a daemon grants any request that the level covers. When the level is low, it grants
/// only requests that fit its own share of the level, since other daemons grant requests at the same time. If too much
/// was granted the level is negative, and all daemons refuse requests until it has recovered. A bucket starts empty
/// because the previous incarnation of this process may have spent its contents.
///
/// In a large fleet the level covers only a few requests, and many daemons get requests before they hear of each
/// other's grants. Each then grants only some of the requests that the level covers, so that all together grant about
/// three fifths of it.
///
/// Part of the tolerance is added to the limit, so that a customer within its limit isn't refused because reports are
/// late.
class RateLimiter
{
public:
    /// @param seed different for each daemon: decides which of the requests are granted if only some are
    explicit RateLimiter(const RateLimitTolerance &tolerance = {}, std::uint64_t seed = 0);

    /// Applies the customers' limits. A bucket that holds more than its new size is cut down to it.
    void configure(const ServingConfiguration &configuration, TimePoint now);

    /// Takes @p units for a request if it is within the limit.
    /// @return whether the units were taken
    bool take(const CustomerConfiguration &customer, double units, const RateLimitShare &share, TimePoint now);
    /// Returns the units of a request that was not executed.
    void refund(const CustomerName &customer, double units);
    /// Subtracts units that another daemon granted; negative if it refunded more than it granted.
    /// First adds the growth of the bucket until @p now, up to its size.
    /// @param reportingFraction as in RateLimitShare
    void recordRemoteSpending(const CustomerName &customer, double units, double reportingFraction, TimePoint now);
    /// @return units per second that the customer requests from this daemon, granted or not
    double demand(const CustomerName &customer, TimePoint now) const;
    /// @return the demand of each customer with recent requests
    std::map<CustomerName, double> demands(TimePoint now) const;
    /// @return units granted by this daemon since it started, less refunds, by customer
    std::map<CustomerName, double> spent() const;
    /// @return units that the bucket held after the last take(); negative if too much was granted
    double level(const CustomerName &customer) const;
    /// @return time from the last take() until a request of @p units can be granted
    Duration waitTime(const CustomerConfiguration &customer, double units, const RateLimitShare &share) const;

private:
    struct Bucket
    {
        explicit Bucket(TimePoint now = TimePoint())
            : tokens(now)
            , demandUpdatedAt(now)
        {
        }
        TokenBucket tokens;
        double perSecond = 0; // growth of the tokens, for all daemons together
        double size = 0; // of the bucket, for all daemons together
        double spent = 0; // granted by this daemon
        double credit = 0; // grows with each request of which only some are granted; 1 grants one
        double demand = 0; // units per second, exponentially averaged
        TimePoint demandUpdatedAt;
    };

    double rateOf(const CustomerConfiguration &customer) const;
    double burstOf(const CustomerConfiguration &customer) const;
    void setLimit(Bucket &bucket, const CustomerConfiguration &customer) const;
    double requiredLevel(const CustomerConfiguration &customer, double units, const RateLimitShare &share) const;
    static bool mayGrantBesideOthers(Bucket &bucket, double units, const RateLimitShare &share);
    static double currentDemand(const Bucket &bucket, TimePoint now);

    RateLimitTolerance m_tolerance;
    std::uint64_t m_seed;
    std::map<CustomerName, Bucket> m_buckets;
};

} // namespace monsoonward
