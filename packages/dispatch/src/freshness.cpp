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
    m_lastProofAt = m_lastProofAt ? std::max(*m_lastProofAt, callStart) : callStart;
}

std::optional<Duration> Freshness::age(TimePoint now) const
{
    return m_lastProofAt ? std::optional(now - *m_lastProofAt) : std::nullopt;
}

bool Freshness::mayAcceptKeys(TimePoint now) const
{
    return m_lastProofAt && now - *m_lastProofAt < m_limits.maxAgeForKeys;
}

bool Freshness::mayDeny(TimePoint now) const
{
    return m_lastProofAt && now - *m_lastProofAt < m_limits.maxAgeForDenials;
}

} // namespace monsoonward
