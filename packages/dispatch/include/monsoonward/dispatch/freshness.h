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
    /// If the proof is older, requests aren't refused as unknown or unauthorised: a new route or key may be refused so
    /// for at most this long.
    Duration maxAgeForDenials = std::chrono::milliseconds(2400);
    /// If the proof is older and a newer configuration is known to exist, all requests are refused; 0: none for that
    /// reason.
    Duration maxAgeWhenBehind {};
    MONSOONWARD_FIELDS(maxAgeForKeys, maxAgeForDenials, maxAgeWhenBehind)
};

/// @brief Tracks when the active configuration was last known to be the newest one. The clock must include the time
/// during which the machine is suspended, since a process may have missed a change then.
///
/// After a restore of the store, a change that was acknowledged shortly before may be missing until it is written
/// again. Nothing that the store says until then proves that the configuration is current.
class Freshness
{
public:
    /// Lost changes are written again within this time after a restore.
    static constexpr Duration restoreSettleTime = std::chrono::seconds(2);
    /// Time to read a newer configuration once it is known to exist.
    static constexpr Duration readingTime = std::chrono::milliseconds(300);

    explicit Freshness(const FreshnessLimits &limits);

    /// The store answered a call that began at @p callStart and had no newer configuration than the active one.
    void recordProof(TimePoint callStart);
    /// The store was restored from a copy; this was noticed at @p now.
    void storeRestored(TimePoint now);
    /// A newer configuration than the active one is known to exist. Has no effect if that is known already.
    void newerExists(TimePoint now);
    /// No newer configuration than the active one is known.
    void newestAdopted();
    /// @return since when a newer configuration is known to exist
    std::optional<TimePoint> behindSince() const;
    /// @return whether the store was restored so recently that it proves nothing
    bool isSettling(TimePoint now) const;
    /// @return age of the last proof, or nothing before the first one
    std::optional<Duration> age(TimePoint now) const;
    /// @return whether requests may be handled by the active configuration. They may while nothing newer is known,
    /// however old the proof is: what needs no key is served while the store is away.
    bool mayServe(TimePoint now) const;
    /// @return whether the configuration is fresh enough to accept the keys that it contains
    bool mayAcceptKeys(TimePoint now) const;
    /// @return whether the configuration is fresh enough to refuse routes and keys that it doesn't contain
    bool mayDeny(TimePoint now) const;

private:
    FreshnessLimits m_limits;
    std::optional<TimePoint> m_lastProofAt;
    std::optional<TimePoint> m_settledAt; // proofs from before don't count
    std::optional<TimePoint> m_behindSince;
};

/// @param rank of this daemon among those that can tell each other what they have read, see FleetView::dutyRank()
/// @param uniformHash 0 to 1, different for each daemon
/// @return the age of the last proof at which this daemon asks the store for a new one. The daemon of rank 0 asks first
/// and tells the others; each further one waits long enough to hear of it, and all wait less than the limits allow.
Duration proofAgeToRenew(const FreshnessLimits &limits, std::size_t rank, double uniformHash);

} // namespace monsoonward
