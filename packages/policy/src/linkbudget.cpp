#include "linkbudget.h"

#include <algorithm>

namespace monsoonward
{

LinkBudget::LinkBudget(const Clock &clock, double bytesPerSecond, double burstBytes)
    : m_clock(clock)
    , m_bytesPerSecond(bytesPerSecond)
    , m_burstBytes(burstBytes)
    , m_availableBytes(burstBytes)
    , m_updatedAt(clock.now())
{
}

bool LinkBudget::allows(double bytes) const
{
    return std::min(bytes, m_burstBytes) <= availableBytes();
}

void LinkBudget::spend(double bytes)
{
    m_availableBytes = availableBytes() - bytes;
    m_updatedAt = m_clock.now();
}

double LinkBudget::availableBytes() const
{
    const double seconds = std::chrono::duration<double>(m_clock.now() - m_updatedAt).count();
    return std::min(m_burstBytes, m_availableBytes + seconds * m_bytesPerSecond);
}

} // namespace monsoonward
