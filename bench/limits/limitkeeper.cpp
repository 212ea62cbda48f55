#include "limitkeeper.h"

#include <algorithm>
#include <cmath>

namespace monsoonward
{

namespace
{

constexpr double burst = 1; // requests

/// @brief A token bucket for each engine with a constant part of its limit.
class FixedPartKeeper : public LimitKeeper
{
public:
    FixedPartKeeper(double perSecond, TimePoint now)
        : m_perSecond(perSecond)
        , m_startedAt(now)
    {
    }

    bool take(const EngineRecord &engine, TimePoint now) override
    {
        auto &bucket = m_buckets.try_emplace(engine.name, m_startedAt).first->second;
        bucket.refill(m_perSecond, burst, now);
        const bool isWithin = bucket.level() >= 1;
        bucket.take(isWithin ? 1 : 0);
        return isWithin;
    }
    void fill(LoadReport & /*report*/, TimePoint /*now*/) override
    {
    }
    void receive(const LoadReport & /*report*/, TimePoint /*now*/) override
    {
    }

private:
    double m_perSecond;
    TimePoint m_startedAt;
    std::map<EngineName, TokenBucket> m_buckets;
};

/// @brief The limiter of customers, with an engine in the place of a customer.
class CopiedBucketKeeper : public LimitKeeper
{
public:
    CopiedBucketKeeper(const FleetOutline &outline, const HostName &own, TimePoint now)
        : m_outline(outline)
        , m_fleet(own)
    {
        m_fleet.setMembers(outline.hosts, now);
    }

    bool take(const EngineRecord &engine, TimePoint now) override
    {
        CustomerConfiguration customer;
        customer.name = CustomerName(engine.name.text());
        customer.unitsPerSecond = m_outline.limit;
        customer.burstUnits = burst;
        const double demand = m_limiter.demand(customer.name, now) + 1;
        const RateLimitShare share {m_fleet.reportingFraction(now), m_fleet.ownFractionFor(customer.name, demand, now)};
        return m_limiter.take(customer, 1, share, now);
    }
    void fill(LoadReport &report, TimePoint now) override
    {
        report.demand = m_limiter.demands(now);
        report.spent = m_limiter.spent();
    }
    void receive(const LoadReport &report, TimePoint now) override
    {
        m_fleet.expire(now);
        if (const auto changes = m_fleet.addReport(report, now)) {
            for (const auto &[customer, units] : changes->spent) {
                m_limiter.recordRemoteSpending(customer, units, m_fleet.reportingFraction(now), now);
            }
        }
    }

private:
    const FleetOutline &m_outline;
    FleetView m_fleet;
    RateLimiter m_limiter;
};

/// @brief The gateway's own method.
class DividedKeeper : public LimitKeeper
{
public:
    DividedKeeper(const FleetOutline &outline, const HostName &own, TimePoint now)
        : m_outline(outline)
        , m_fleet(own)
        , m_division(Topology(), own, m_fleet)
    {
        m_fleet.setMembers(outline.hosts, now);
    }

    bool take(const EngineRecord &engine, TimePoint now) override
    {
        if (!m_limits.limitOf(runOf(engine))) {
            m_limits.record(runOf(engine), m_outline.limit, now);
        }
        if (!m_limiter.maySend(engine, 0, now)) {
            return false;
        }
        m_limiter.requestSent(engine, now);
        m_limits.record(runOf(engine), m_outline.limit, now); // its response states the limit again
        return true;
    }
    void fill(LoadReport &report, TimePoint /*now*/) override
    {
        m_division.setOwnDemand(report.serviceDemand);
    }
    void receive(const LoadReport &report, TimePoint now) override
    {
        m_fleet.expire(now);
        m_fleet.addReport(report, now);
    }

private:
    const FleetOutline &m_outline;
    FleetView m_fleet;
    EngineLimits m_limits;
    LimitDivision m_division;
    EngineLimiter m_limiter {m_limits, m_division};
};

} // namespace

std::string textOf(LimitMethod method)
{
    switch (method) {
    case LimitMethod::Separate:
        return "separate";
    case LimitMethod::Even:
        return "even";
    case LimitMethod::CopiedBucket:
        return "copied bucket";
    case LimitMethod::Divided:
        break;
    }
    return "divided";
}

std::unique_ptr<LimitKeeper>
makeLimitKeeper(LimitMethod method, const FleetOutline &outline, const HostName &own, TimePoint now)
{
    switch (method) {
    case LimitMethod::Separate:
        return std::make_unique<FixedPartKeeper>(outline.limit, now);
    case LimitMethod::Even:
        return std::make_unique<FixedPartKeeper>(outline.limit / static_cast<double>(outline.hosts.size()), now);
    case LimitMethod::CopiedBucket:
        return std::make_unique<CopiedBucketKeeper>(outline, own, now);
    case LimitMethod::Divided:
        break;
    }
    return std::make_unique<DividedKeeper>(outline, own, now);
}

} // namespace monsoonward
