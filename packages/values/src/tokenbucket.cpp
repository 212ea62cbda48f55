#include "monsoonward/values/tokenbucket.h"

#include <algorithm>

namespace monsoonward
{

TokenBucket::TokenBucket(TimePoint now, double level)
    : m_level(level)
    , m_refilledAt(now)
{
}

void TokenBucket::refill(double perSecond, double size, TimePoint now)
{
    m_level = levelAt(perSecond, size, now);
    m_refilledAt = now;
}

double TokenBucket::levelAt(double perSecond, double size, TimePoint now) const
{
    const std::chrono::duration<double> passed = now - m_refilledAt;
    return std::min(m_level + passed.count() * perSecond, size);
}

void TokenBucket::take(double tokens)
{
    m_level -= tokens;
}

void TokenBucket::giveBack(double tokens)
{
    m_level += tokens;
}

void TokenBucket::limitTo(double size)
{
    m_level = std::min(m_level, size);
}

double TokenBucket::level() const
{
    return m_level;
}

} // namespace monsoonward
