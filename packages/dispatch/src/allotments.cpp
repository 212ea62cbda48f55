#include "monsoonward/dispatch/allotments.h"

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

constexpr double grantedRatioFraction = 0.5; // of the tolerance's ratio; the rest covers late reports
constexpr double grantedUnitsFraction = 0.2; // of its units; the rest covers daemons cut off or just started

} // namespace

RateLimiter::RateLimiter(const RateLimitTolerance &tolerance)
    : m_tolerance(tolerance)
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
        auto &bucket = kept[it.name];
        const auto old = m_buckets.find(it.name);
        if (old != m_buckets.end()) {
            bucket = old->second;
            bucket.level = std::min(bucket.level, burstOf(it));
        } else {
            bucket.refilledAt = now;
            bucket.demandUpdatedAt = now;
        }
    }
    m_buckets = std::move(kept);
}

void RateLimiter::refill(const CustomerConfiguration &customer,
                         double reportingFraction,
                         Bucket &bucket,
                         TimePoint now) const
{
    const Seconds passed = now - bucket.refilledAt;
    const double size = burstOf(customer) * reportingFraction;
    const double filled = bucket.level + passed.count() * rateOf(customer) * reportingFraction;
    bucket.level = std::min(filled, size);
    bucket.refilledAt = now;
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
    const auto [it, isNew] = m_buckets.try_emplace(customer.name);
    auto &bucket = it->second;
    if (isNew) {
        bucket.refilledAt = now;
        bucket.demandUpdatedAt = now;
    }
    refill(customer, share.reportingFraction, bucket, now);
    bucket.demand = currentDemand(bucket, now) + units / demandDecayTime.count();
    bucket.demandUpdatedAt = now;
    if (bucket.level < requiredLevel(customer, units, share)) {
        return false;
    }
    bucket.level -= units;
    bucket.spent += units;
    return true;
}

void RateLimiter::refund(const CustomerName &customer, double units)
{
    const auto it = m_buckets.find(customer);
    if (it != m_buckets.end()) {
        it->second.level += units;
        it->second.spent -= units;
    }
}

void RateLimiter::recordRemoteSpending(const CustomerName &customer, double units)
{
    const auto it = m_buckets.find(customer);
    if (it != m_buckets.end()) {
        it->second.level -= units;
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
    return it == m_buckets.end() ? 0 : it->second.level;
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
