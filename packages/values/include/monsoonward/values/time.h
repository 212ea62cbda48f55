#pragma once

#include <chrono>

namespace monsoonward
{

using Duration = std::chrono::nanoseconds;
/// @brief A point on a host's monotonic clock. Points of two hosts can't be compared.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// @brief Source of monotonic time; passed to everything that needs the time.
class Clock
{
public:
    virtual ~Clock() = default;
    virtual TimePoint now() const = 0;
};

/// @brief The host's monotonic clock.
class SteadyClock : public Clock
{
public:
    TimePoint now() const override;
};

/// @brief The host's monotonic clock, which also counts the time that the host was suspended.
class BootClock : public Clock
{
public:
    TimePoint now() const override;
};

/// @brief A clock that moves only when told to, for tests, scenarios and the decision bench.
class VirtualClock : public Clock
{
public:
    TimePoint now() const override;
    void advance(Duration by);
    void advanceTo(TimePoint point);

private:
    TimePoint m_now {std::chrono::hours(1)};
};

} // namespace monsoonward
