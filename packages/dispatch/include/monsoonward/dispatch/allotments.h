#pragma once

#include "monsoonward/dispatch/servingconfiguration.h"

#include <map>

namespace monsoonward
{

/// @brief This daemon's part of the fleet in a customer's limit.
struct RateLimitShare
{
    double reportingFraction = 1; ///< of the limit, for this daemon and those that it hears
    double ownFraction = 1; ///< this daemon's share of that part
    MONSOONWARD_FIELDS(reportingFraction, ownFraction)
};

/// @brief How far the requests of a customer may go beyond its limit, since daemons count apart.
struct RateLimitTolerance
{
    double ratio = 0; ///< of the limit
    double units = 0; ///< on top, in a window of some seconds
    MONSOONWARD_FIELDS(ratio, units)
};

/// @brief Customers' limits over all daemons: a copy of one token bucket for each customer, from which every daemon
/// takes at once what it grants, and a little later what the others report.
///
/// While a bucket is well filled each daemon takes what it needs. Near its end a daemon takes its share of the rest
/// only, since the others take at the same time. What was taken too much is a debt that all wait for. A bucket begins
/// empty: the former life of this process may have spent it.
///
/// A part of the tolerance is granted too: a customer that stays within its limit isn't refused because reports are
/// late.
class RateLimiter
{
public:
    explicit RateLimiter(const RateLimitTolerance &tolerance = {});

    /// Adopts the customers' limits; a bucket above its new size loses the rest.
    void configure(const ServingConfiguration &configuration, TimePoint now);

    /// Takes @p units for a request.
    /// @return whether the request is within the limit
    bool take(const CustomerConfiguration &customer, double units, const RateLimitShare &share, TimePoint now);
    /// Gives back what was taken for a request that has not run.
    void refund(const CustomerName &customer, double units);
    /// Another daemon has granted so much; negative when it gave some back.
    void recordRemoteSpending(const CustomerName &customer, double units);
    /// @return units a second that the customer asks of this daemon, granted or not
    double demand(const CustomerName &customer, TimePoint now) const;
    /// @return the demands of customers that asked lately
    std::map<CustomerName, double> demands(TimePoint now) const;
    /// @return units granted by this daemon, by customer
    std::map<CustomerName, double> spent() const;
    /// @return units that the bucket holds; negative: a debt
    double level(const CustomerName &customer) const;
    /// @return time until a request of @p units may be granted
    Duration waitTime(const CustomerConfiguration &customer, double units, const RateLimitShare &share) const;

private:
    struct Bucket
    {
        double level = 0;
        TimePoint filledAt;
        double spent = 0; // by this daemon
        double asked = 0; // units a second, averaged
        TimePoint askedAt;
    };

    double rateOf(const CustomerConfiguration &customer) const;
    double burstOf(const CustomerConfiguration &customer) const;
    double neededLevel(const CustomerConfiguration &customer, double units, const RateLimitShare &share) const;
    void fill(const CustomerConfiguration &customer, double reportingFraction, Bucket &bucket, TimePoint now) const;
    static double askedNow(const Bucket &bucket, TimePoint now);

    RateLimitTolerance m_tolerance;
    std::map<CustomerName, Bucket> m_buckets;
};

} // namespace monsoonward
