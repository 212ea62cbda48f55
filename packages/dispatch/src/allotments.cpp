#include "monsoonward/dispatch/allotments.h"

#include <algorithm>
#include <cmath>

namespace monsoonward
{

namespace
{

using Seconds = std::chrono::duration<double>;

constexpr Seconds demandMemory {2.0}; // averages over the bursts of a caller, follows a change within a few seconds
constexpr double forgottenDemand = 0.01; // units a second
constexpr double wellFilled = 0.5; // of the bucket: reports of what the others take come long before it is empty

constexpr double grantedRatio = 0.5; // of the tolerance's ratio; the rest is for reports that are late
constexpr double grantedUnits = 0.2; // of its units; the rest is for daemons that are cut off, and for starts

} // namespace

RateLimiter::RateLimiter(const RateLimitTolerance &tolerance)
    : m_tolerance(tolerance)
{
}

double RateLimiter::rateOf(const CustomerConfiguration &customer) const
{
    return customer.unitsPerSecond * (1 + m_tolerance.ratio * grantedRatio);
}

double RateLimiter::burstOf(const CustomerConfiguration &customer) const
{
    return customer.burstUnits + m_tolerance.units * grantedUnits;
}

/// @return what the bucket must hold to grant a request
double RateLimiter::neededLevel(const CustomerConfiguration &customer, double units, const RateLimitShare &share) const
{
    const double size = burstOf(customer) * share.reportingFraction;
    const double forShare = share.ownFraction > 0 ? units / share.ownFraction : size;
    // A request that is larger than the whole bucket waits for a full one.
    return std::min(std::max(units, std::min(forShare, size * wellFilled)), size);
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
            bucket.filledAt = now;
            bucket.askedAt = now;
        }
    }
    m_buckets = std::move(kept);
}

void RateLimiter::fill(const CustomerConfiguration &customer,
                       double reportingFraction,
                       Bucket &bucket,
                       TimePoint now) const
{
    const Seconds passed = now - bucket.filledAt;
    const double size = burstOf(customer) * reportingFraction;
    const double filled = bucket.level + passed.count() * rateOf(customer) * reportingFraction;
    bucket.level = std::min(filled, size);
    bucket.filledAt = now;
}

double RateLimiter::askedNow(const Bucket &bucket, TimePoint now)
{
    return bucket.asked * std::exp(-Seconds(now - bucket.askedAt).count() / demandMemory.count());
}

bool RateLimiter::take(const CustomerConfiguration &customer, double units, const RateLimitShare &share, TimePoint now)
{
    if (customer.unitsPerSecond <= 0) {
        return true;
    }
    const auto [it, isNew] = m_buckets.try_emplace(customer.name);
    auto &bucket = it->second;
    if (isNew) {
        bucket.filledAt = now;
        bucket.askedAt = now;
    }
    fill(customer, share.reportingFraction, bucket, now);
    bucket.asked = askedNow(bucket, now) + units / demandMemory.count();
    bucket.askedAt = now;
    if (bucket.level < neededLevel(customer, units, share)) {
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
    return it == m_buckets.end() ? 0 : askedNow(it->second, now);
}

std::map<CustomerName, double> RateLimiter::demands(TimePoint now) const
{
    std::map<CustomerName, double> demands;
    for (const auto &[customer, bucket] : m_buckets) {
        const auto asked = askedNow(bucket, now);
        if (asked >= forgottenDemand) {
            demands[customer] = asked;
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
    const Seconds wait(std::max(0.0, (neededLevel(customer, units, share) - level(customer.name)) / rate));
    return std::chrono::duration_cast<Duration>(wait);
}

} // namespace monsoonward
