#pragma once

#include <chrono>

namespace monsoonward
{

using Duration = std::chrono::nanoseconds;
/// @brief A point in time on a host's monotonic clock. Not comparable between hosts.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// @brief Interface of monotonic clocks, so that tests and simulations can control the time.
class Clock
{
public:
    virtual ~Clock() = default;
    virtual TimePoint now() const = 0;
};

/// @brief The host's monotonic clock (std::chrono::steady_clock), which stops while the host is suspended.
class SteadyClock : public Clock
{
public:
    TimePoint now() const override;
};

/// @brief The host's monotonic clock including the time spent suspended (CLOCK_BOOTTIME).
class BootClock : public Clock
{
public:
    TimePoint now() const override;
};

/// @brief A clock that only advances on request, for tests, simulations and the decision benchmark.
class VirtualClock : public Clock
{
public:
    TimePoint now() const override;
    void advance(Duration by);
    /// Does nothing when @p point is in the past.
    void advanceTo(TimePoint point);

private:
    TimePoint m_now {std::chrono::hours(1)};
};

} // namespace monsoonward
