#include "monsoonward/dispatch/freshness.h"

#include <algorithm>

namespace monsoonward
{

Freshness::Freshness(const FreshnessLimits &limits)
    : m_limits(limits)
{
}

void Freshness::recordProof(TimePoint callStart)
{
    if (m_settledAt && callStart < *m_settledAt) {
        return;
    }
    m_lastProofAt = m_lastProofAt ? std::max(*m_lastProofAt, callStart) : callStart;
}

void Freshness::storeRestored(TimePoint now)
{
    m_settledAt = now + restoreSettleTime;
}

bool Freshness::isSettling(TimePoint now) const
{
    return m_settledAt && now < *m_settledAt;
}

std::optional<Duration> Freshness::age(TimePoint now) const
{
    return m_lastProofAt ? std::optional(now - *m_lastProofAt) : std::nullopt;
}

void Freshness::newerExists(TimePoint now)
{
    m_behindSince = m_behindSince.value_or(now);
}

void Freshness::newestAdopted()
{
    m_behindSince.reset();
}

std::optional<TimePoint> Freshness::behindSince() const
{
    return m_behindSince;
}

bool Freshness::mayServe(TimePoint now) const
{
    const bool isLimited = m_limits.maxAgeWhenBehind > Duration::zero();
    if (!isLimited || !m_behindSince || now - *m_behindSince < readingTime) {
        return true;
    }
    return m_lastProofAt && now - *m_lastProofAt < m_limits.maxAgeWhenBehind;
}

bool Freshness::mayAcceptKeys(TimePoint now) const
{
    return m_lastProofAt && now - *m_lastProofAt < m_limits.maxAgeForKeys;
}

bool Freshness::mayDeny(TimePoint now) const
{
    return m_lastProofAt && now - *m_lastProofAt < m_limits.maxAgeForDenials;
}

Duration proofAgeToRenew(const FreshnessLimits &limits, std::size_t rank, double uniformHash)
{
    constexpr int percent = 100;
    constexpr int firstPercent = 25; // of the shorter limit, for rank 0
    constexpr int stepPercent = 12; // for each further rank; a report arrives within it
    constexpr std::size_t lastRank = 3; // all further ones ask at random times within one more step
    const auto limit = std::min(limits.maxAgeForKeys, limits.maxAgeForDenials * 2);
    const auto step = limit * stepPercent / percent;
    const auto spread = rank >= lastRank ? std::chrono::duration_cast<Duration>(step * uniformHash) : Duration::zero();
    return limit * firstPercent / percent + step * static_cast<int>(std::min(rank, lastRank)) + spread;
}

} // namespace monsoonward
