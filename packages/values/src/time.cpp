#include "monsoonward/values/time.h"

#include <ctime>

namespace monsoonward
{

TimePoint SteadyClock::now() const
{
    return std::chrono::steady_clock::now();
}

TimePoint BootClock::now() const
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time); // only fails for an unsupported clock ID
    return TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
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
