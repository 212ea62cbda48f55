#include "linkbudget.h"

#include <algorithm>

namespace monsoonward
{

LinkBudget::LinkBudget(const Clock &clock, double bytesPerSecond, double burstBytes)
    : m_clock(clock)
    , m_bytesPerSecond(bytesPerSecond)
    , m_burstBytes(burstBytes)
    , m_left(burstBytes)
    , m_at(clock.now())
{
}

bool LinkBudget::allows(double bytes) const
{
    return std::min(bytes, m_burstBytes) <= available();
}

void LinkBudget::spend(double bytes)
{
    m_left = available() - bytes;
    m_at = m_clock.now();
}

double LinkBudget::available() const
{
    const double seconds = std::chrono::duration<double>(m_clock.now() - m_at).count();
    return std::min(m_burstBytes, m_left + seconds * m_bytesPerSecond);
}

} // namespace monsoonward
