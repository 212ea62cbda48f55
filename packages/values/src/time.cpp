#include "monsoonward/values/time.h"

namespace monsoonward
{

TimePoint SystemClock::now() const
{
    return std::chrono::steady_clock::now();
}

TimePoint VirtualClock::now() const
{
    return m_now;
}

void VirtualClock::advance(Duration by)
{
    m_now += by;
}

void VirtualClock::advanceTo(TimePoint point)
{
    if (point > m_now) {
        m_now = point;
    }
}

} // namespace monsoonward
