#pragma once

#include <monsoonward/values/values.h>

#include <optional>

namespace monsoonward
{

/// @brief Maximum ages of the proof that the active configuration is the newest one.
struct FreshnessLimits
{
    /// If the proof is older, requests with a key are refused.
    Duration maxAgeForKeys = std::chrono::milliseconds(4700);
    /// If the proof is older, requests aren't refused as unknown or unauthorised.
    Duration maxAgeForDenials = std::chrono::milliseconds(2500);
    MONSOONWARD_FIELDS(maxAgeForKeys, maxAgeForDenials)
};

/// @brief Tracks when the active configuration was last known to be the newest one. The clock must include the time
/// during which the machine is suspended, since a process may have missed a change then.
class Freshness
{
public:
    explicit Freshness(const FreshnessLimits &limits);

    /// The store answered a call that began at @p callStart and had no newer configuration than the active one.
    void recordProof(TimePoint callStart);
    /// @return age of the last proof, or nothing before the first one
    std::optional<Duration> age(TimePoint now) const;
    /// @return whether the configuration is fresh enough to accept the keys that it contains
    bool mayAcceptKeys(TimePoint now) const;
    /// @return whether the configuration is fresh enough to refuse routes and keys that it doesn't contain
    bool mayDeny(TimePoint now) const;

private:
    FreshnessLimits m_limits;
    std::optional<TimePoint> m_lastProofAt;
};

} // namespace monsoonward
