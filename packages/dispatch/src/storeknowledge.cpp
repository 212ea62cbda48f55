#include "monsoonward/dispatch/storeknowledge.h"

#include <algorithm>

namespace monsoonward
{

EraChange StoreEraTracker::observe(StoreEra era, TimePoint now)
{
    if (!m_current || era == *m_current) {
        m_current = era;
        m_formerSince.reset();
        return EraChange::None;
    }
    if (era < *m_current) {
        m_formerSince = m_formerSince.value_or(now);
        if (now - *m_formerSince < formerEraTimeout) {
            return EraChange::Former;
        }
    }
    m_current = era;
    m_formerSince.reset();
    m_restoredAt = now;
    return EraChange::Restored;
}

StoreEra StoreEraTracker::current() const
{
    return m_current.value_or(0);
}

std::optional<TimePoint> StoreEraTracker::restoredAt() const
{
    return m_restoredAt;
}

void StoreClock::observe(StoreEra era, std::int64_t storeTimeMs, TimePoint callStartedAt)
{
    // The store read its clock after the call had begun, so the difference of the clocks is at least this.
    const Duration offset = callStartedAt.time_since_epoch() - std::chrono::milliseconds(storeTimeMs);
    const Duration known = m_offset
        - std::chrono::duration_cast<Duration>(std::max(Duration::zero(), callStartedAt - m_observedAt) * maxDrift);
    if (!m_isKnown || era != m_era || offset >= known) {
        m_offset = offset;
        m_observedAt = callStartedAt;
    }
    m_era = era;
    m_isKnown = true;
}

std::optional<TimePoint> StoreClock::earliest(StoreEra era, std::int64_t storeTimeMs, TimePoint now) const
{
    if (!m_isKnown || era != m_era) {
        return std::nullopt;
    }
    const auto drift = std::chrono::duration_cast<Duration>(std::max(Duration::zero(), now - m_observedAt) * maxDrift);
    return TimePoint(m_offset - drift + std::chrono::milliseconds(storeTimeMs));
}

} // namespace monsoonward
