#include "monsoonward/control/wallclock.h"

#include <chrono>

namespace monsoonward
{

std::int64_t SystemWallClock::milliseconds() const
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

} // namespace monsoonward
