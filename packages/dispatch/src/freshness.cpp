#include "monsoonward/dispatch/freshness.h"

#include <algorithm>

namespace monsoonward
{

Freshness::Freshness(const FreshnessBounds &bounds)
    : m_bounds(bounds)
{
}

void Freshness::proved(TimePoint started)
{
    m_provedAt = m_provedAt ? std::max(*m_provedAt, started) : started;
}

std::optional<Duration> Freshness::age(TimePoint now) const
{
    return m_provedAt ? std::optional(now - *m_provedAt) : std::nullopt;
}

bool Freshness::allowsKeys(TimePoint now) const
{
    return m_provedAt && now - *m_provedAt < m_bounds.forKeys;
}

bool Freshness::allowsDenials(TimePoint now) const
{
    return m_provedAt && now - *m_provedAt < m_bounds.forDenials;
}

} // namespace monsoonward
