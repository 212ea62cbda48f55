#pragma once

#include <monsoonward/values/values.h>

#include <optional>

namespace monsoonward
{

/// @brief How old the proof that the configuration in force is the newest one may be.
struct FreshnessLimits
{
    Duration maxAgeForKeys = std::chrono::milliseconds(4700); ///< older: requests with a key are refused
    Duration maxAgeForDenials =
        std::chrono::milliseconds(2500); ///< older: no request is refused as unknown or unauthorised
    MONSOONWARD_FIELDS(maxAgeForKeys, maxAgeForDenials)
};

/// @brief Tells how long ago the configuration was known to be the newest. The clock must count suspension: a process
/// that wakes up may have missed a change.
class Freshness
{
public:
    explicit Freshness(const FreshnessLimits &bounds);

    /// The store answered a call that began at @p started and knew no newer configuration than the one in force.
    void recordProof(TimePoint started);
    /// @return time since the last proof, or nothing before the first
    std::optional<Duration> age(TimePoint now) const;
    /// @return whether a key that this configuration accepts may still be accepted
    bool mayAcceptKeys(TimePoint now) const;
    /// @return whether what this configuration doesn't know may be refused for good
    bool mayDeny(TimePoint now) const;

private:
    FreshnessLimits m_bounds;
    std::optional<TimePoint> m_provedAt;
};

} // namespace monsoonward
