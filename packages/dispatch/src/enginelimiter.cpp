#include "monsoonward/dispatch/enginelimiter.h"

#include <algorithm>

namespace monsoonward
{

namespace
{

/// Shares change with the reports of demand, which are smoothed over seconds.
constexpr Duration recomputeInterval = std::chrono::milliseconds(200);
constexpr double minSize = 1; // requests
constexpr double maxSize = 2; // all gateways' buckets may be emptied at once

double sizeOf(double share)
{
    return std::clamp(share, minSize, maxSize);
}

} // namespace

EngineLimiter::EngineLimiter(const EngineLimits &limits, const LimitDivision &division)
    : m_limits(limits)
    , m_division(division)
{
}

EngineLimiter::Share &EngineLimiter::refilled(const EngineRecord &engine, double limit, TimePoint now)
{
    const auto run = runOf(engine);
    const auto [it, isNew] = m_shares.try_emplace(run, now);
    auto &share = it->second;
    share.bucket.refill(share.perSecond, sizeOf(share.perSecond), now);
    if (isNew || share.limit != limit || now - share.computedAt >= recomputeInterval) {
        share.perSecond = m_division.ownShare(engine, limit, m_limits.ageOf(run, now).value_or(Duration::zero()), now);
        share.limit = limit;
        share.computedAt = now;
    }
    return share;
}

std::optional<EngineAllowance> EngineLimiter::allowanceOf(const EngineRecord &engine, TimePoint now)
{
    if (m_limits.isEmpty()) {
        return std::nullopt;
    }
    const auto run = runOf(engine);
    const auto limit = m_limits.limitOf(run);
    if (!limit) {
        return std::nullopt;
    }
    const auto &share = refilled(engine, *limit, now);
    return EngineAllowance {*limit,
                            m_limits.ageOf(run, now).value_or(Duration::zero()),
                            share.perSecond,
                            share.perSecond > 0 ? share.bucket.level() : 0};
}

bool EngineLimiter::maySend(const EngineRecord &engine, double urgentShare, TimePoint now)
{
    const auto allowance = allowanceOf(engine, now);
    return !allowance || allowance->available >= 1 + urgentShare * (sizeOf(allowance->share) - 1);
}

void EngineLimiter::requestSent(const EngineRecord &engine, TimePoint now)
{
    const auto limit = m_limits.isEmpty() ? std::nullopt : m_limits.limitOf(runOf(engine));
    if (limit) {
        refilled(engine, *limit, now).bucket.take(1);
    }
}

void EngineLimiter::requestNotSent(const EngineRecord &engine)
{
    if (m_shares.empty()) {
        return;
    }
    const auto it = m_shares.find(runOf(engine));
    if (it != m_shares.end()) {
        it->second.bucket.giveBack(1);
    }
}

double EngineLimiter::totalLimit(const std::vector<const EngineRecord *> &engines) const
{
    double total = 0;
    for (const auto *it : engines) {
        total += m_limits.limitOf(runOf(*it)).value_or(0);
    }
    return total;
}

void EngineLimiter::expire()
{
    for (auto it = m_shares.begin(); it != m_shares.end();) {
        it = m_limits.limitOf(it->first) ? std::next(it) : m_shares.erase(it);
    }
}

} // namespace monsoonward
