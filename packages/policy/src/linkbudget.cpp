#include "linkbudget.h"

#include <algorithm>

namespace monsoonward
{

LinkBudget::LinkBudget(const Clock &clock, double bytesPerSecond, double burstBytes)
    : m_clock(clock)
    , m_bytesPerSecond(bytesPerSecond)
    , m_burstBytes(burstBytes)
    , m_bytes(clock.now(), burstBytes)
{
}

bool LinkBudget::allows(double bytes) const
{
    return std::min(bytes, m_burstBytes) <= m_bytes.levelAt(m_bytesPerSecond, m_burstBytes, m_clock.now());
}

void LinkBudget::spend(double bytes)
{
    m_bytes.refill(m_bytesPerSecond, m_burstBytes, m_clock.now());
    m_bytes.take(bytes);
}

} // namespace monsoonward
