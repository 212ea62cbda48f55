#include "monsoonward/dispatch/tokenbucket.h"

#include <algorithm>

namespace monsoonward
{

TokenBucket::TokenBucket(TimePoint now)
    : m_refilledAt(now)
{
}

void TokenBucket::refill(double perSecond, double size, TimePoint now)
{
    const std::chrono::duration<double> passed = now - m_refilledAt;
    m_level = std::min(m_level + passed.count() * perSecond, size);
    m_refilledAt = now;
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
