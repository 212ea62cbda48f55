#pragma once

#include <cstdint>

namespace monsoonward
{

/// @brief Source of the time of day, for timestamps that people read and for the expiry of plans. Clocks of different
/// hosts disagree, so correctness must not depend on it.
class WallClock
{
public:
    virtual ~WallClock() = default;
    /// @return milliseconds since 1970-01-01 00:00 UTC
    virtual std::int64_t milliseconds() const = 0;
};

/// @brief The system clock of this host.
class SystemWallClock : public WallClock
{
public:
    std::int64_t milliseconds() const override;
};

} // namespace monsoonward
