#include "monsoonward/dispatch/allotments.h"

#include "monsoonward/dispatch/texthash.h"

#include <algorithm>
#include <cmath>

namespace monsoonward
{

namespace
{

using Seconds = std::chrono::duration<double>;

constexpr Seconds demandDecayTime {2.0}; // smooths bursts of a caller, but follows a change within a few seconds
constexpr double minReportedDemand = 0.01; // units per second
constexpr double wellFilledFraction = 0.5; // of the bucket size; the other daemons' reports arrive before it is spent

constexpr double concurrentFraction = 0.6; // of the level; what all daemons grant on average before they hear of it

constexpr double grantedRatioFraction = 0.5; // of the tolerance's ratio; the rest covers late reports
constexpr double grantedUnitsFraction = 0.2; // of its units; the rest covers daemons cut off or just started

} // namespace

RateLimiter::RateLimiter(const RateLimitTolerance &tolerance, std::uint64_t seed)
    : m_tolerance(tolerance)
    , m_seed(seed)
{
}

double RateLimiter::rateOf(const CustomerConfiguration &customer) const
{
    return customer.unitsPerSecond * (1 + m_tolerance.ratio * grantedRatioFraction);
}

double RateLimiter::burstOf(const CustomerConfiguration &customer) const
{
    return customer.burstUnits + m_tolerance.units * grantedUnitsFraction;
}

/// @return the level that the bucket must have to grant a request
double
RateLimiter::requiredLevel(const CustomerConfiguration &customer, double units, const RateLimitShare &share) const
{
    const double size = burstOf(customer) * share.reportingFraction;
    const double requiredByShare = share.ownFraction > 0 ? units / share.ownFraction : size;
    // A request larger than the bucket size is granted when the bucket is full.
    return std::min(std::max(units, std::min(requiredByShare, size * wellFilledFraction)), size);
}

void RateLimiter::configure(const ServingConfiguration &configuration, TimePoint now)
{
    std::map<CustomerName, Bucket> kept;
    for (const auto &it : configuration.customers) {
        const auto old = m_buckets.find(it.name);
        auto &bucket = kept.emplace(it.name, old == m_buckets.end() ? Bucket(now) : old->second).first->second;
        if (old == m_buckets.end()) {
            bucket.credit = uniformOf(hashOf(it.name.text(), m_seed));
        }
        setLimit(bucket, it);
        bucket.tokens.limitTo(bucket.size);
    }
    m_buckets = std::move(kept);
}

void RateLimiter::setLimit(Bucket &bucket, const CustomerConfiguration &customer) const
{
    bucket.perSecond = rateOf(customer);
    bucket.size = burstOf(customer);
}

double RateLimiter::currentDemand(const Bucket &bucket, TimePoint now)
{
    return bucket.demand * std::exp(-Seconds(now - bucket.demandUpdatedAt).count() / demandDecayTime.count());
}

bool RateLimiter::take(const CustomerConfiguration &customer, double units, const RateLimitShare &share, TimePoint now)
{
    if (customer.unitsPerSecond <= 0) {
        return true;
    }
    auto &bucket = m_buckets.try_emplace(customer.name, now).first->second;
    setLimit(bucket, customer);
    bucket.tokens.refill(bucket.perSecond * share.reportingFraction, bucket.size * share.reportingFraction, now);
    bucket.demand = currentDemand(bucket, now) + units / demandDecayTime.count();
    bucket.demandUpdatedAt = now;
    if (bucket.tokens.level() < requiredLevel(customer, units, share) || !mayGrantBesideOthers(bucket, units, share)) {
        return false;
    }
    bucket.tokens.take(units);
    bucket.spent += units;
    return true;
}

/// @return whether to grant a request that the level covers, although other daemons may grant requests unheard
bool RateLimiter::mayGrantBesideOthers(Bucket &bucket, double units, const RateLimitShare &share)
{
    const double level = bucket.tokens.level();
    if (share.unreportedUnits <= 0 || level - units >= share.unreportedUnits || level * share.ownFraction >= units) {
        return true;
    }
    const double concurrentRequests = 1 + share.unreportedUnits / units;
    bucket.credit += std::min(1.0, concurrentFraction * std::max(1.0, level / units) / concurrentRequests);
    if (bucket.credit < 1) {
        return false;
    }
    bucket.credit -= 1;
    return true;
}

void RateLimiter::refund(const CustomerName &customer, double units)
{
    const auto it = m_buckets.find(customer);
    if (it != m_buckets.end()) {
        it->second.tokens.giveBack(units);
        it->second.spent -= units;
    }
}

void RateLimiter::recordRemoteSpending(const CustomerName &customer,
                                       double units,
                                       double reportingFraction,
                                       TimePoint now)
{
    const auto it = m_buckets.find(customer);
    if (it != m_buckets.end()) {
        auto &bucket = it->second;
        bucket.tokens.refill(bucket.perSecond * reportingFraction, bucket.size * reportingFraction, now);
        bucket.tokens.take(units);
    }
}

double RateLimiter::demand(const CustomerName &customer, TimePoint now) const
{
    const auto it = m_buckets.find(customer);
    return it == m_buckets.end() ? 0 : currentDemand(it->second, now);
}

std::map<CustomerName, double> RateLimiter::demands(TimePoint now) const
{
    std::map<CustomerName, double> demands;
    for (const auto &[customer, bucket] : m_buckets) {
        const auto demand = currentDemand(bucket, now);
        if (demand >= minReportedDemand) {
            demands[customer] = demand;
        }
    }
    return demands;
}

std::map<CustomerName, double> RateLimiter::spent() const
{
    std::map<CustomerName, double> spent;
    for (const auto &[customer, bucket] : m_buckets) {
        spent[customer] = bucket.spent;
    }
    return spent;
}

double RateLimiter::level(const CustomerName &customer) const
{
    const auto it = m_buckets.find(customer);
    return it == m_buckets.end() ? 0 : it->second.tokens.level();
}

Duration RateLimiter::waitTime(const CustomerConfiguration &customer, double units, const RateLimitShare &share) const
{
    const auto rate = rateOf(customer) * share.reportingFraction;
    if (rate <= 0) {
        return Duration::zero();
    }
    const Seconds wait(std::max(0.0, (requiredLevel(customer, units, share) - level(customer.name)) / rate));
    return std::chrono::duration_cast<Duration>(wait);
}

} // namespace monsoonward
