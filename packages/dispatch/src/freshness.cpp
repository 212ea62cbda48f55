#include "monsoonward/dispatch/freshness.h"

#include <algorithm>

namespace monsoonward
{

Freshness::Freshness(const FreshnessLimits &bounds)
    : m_bounds(bounds)
{
}

void Freshness::recordProof(TimePoint started)
{
    m_provedAt = m_provedAt ? std::max(*m_provedAt, started) : started;
}

std::optional<Duration> Freshness::age(TimePoint now) const
{
    return m_provedAt ? std::optional(now - *m_provedAt) : std::nullopt;
}

bool Freshness::mayAcceptKeys(TimePoint now) const
{
    return m_provedAt && now - *m_provedAt < m_bounds.maxAgeForKeys;
}

bool Freshness::mayDeny(TimePoint now) const
{
    return m_provedAt && now - *m_provedAt < m_bounds.maxAgeForDenials;
}

} // namespace monsoonward
