#pragma once

#include <monsoonward/values/values.h>

#include <cstdint>
#include <optional>

namespace monsoonward
{

/// Counts how often the store was restored from a copy. Row versions are comparable only within one era.
using StoreEra = std::uint64_t;

/// @brief What one daemon has read from the store, as it tells the other daemons in its load reports. Everything
/// belongs to one era of the store.
struct StoreKnowledge
{
    StoreEra era = 0;
    Revision revision = 0; ///< the active configuration
    std::int64_t provenAtMs = 0; ///< store time at which the revision was known to be the newest one; 0 if never
    std::uint64_t engineVersion = 0; ///< the newest row version seen in the table of engines
    std::uint64_t gatewayVersion = 0; ///< the newest row version seen in the table of gateways
    std::uint64_t provenVersion = 0; ///< version of the whole store at provenAtMs; 0 if not stated
    MONSOONWARD_FIELDS(era, revision, provenAtMs, engineVersion, gatewayVersion, provenVersion)
};

/// @brief How an answer's era relates to the eras seen before.
enum class EraChange {
    None, ///< the current era, or the first one seen
    Restored, ///< the store was restored since the last answer
    Former, ///< the answer was given before the last restore that is known; it must be dropped
};

/// @brief Tracks the era of the store over all calls of this process.
class StoreEraTracker
{
public:
    /// If the store has stated only lower eras for this long, it is taken to be in a new era nevertheless.
    static constexpr Duration formerEraTimeout = std::chrono::seconds(10);

    /// @param era as stated by an answer of the store
    EraChange observe(StoreEra era, TimePoint now);
    /// @return the current era; 0 if no answer has stated one
    StoreEra current() const;
    /// @return when the last restore was noticed
    std::optional<TimePoint> restoredAt() const;

private:
    std::optional<StoreEra> m_current;
    std::optional<TimePoint> m_restoredAt;
    std::optional<TimePoint> m_formerSince; // when the current run of answers with lower eras began
};

/// @brief Converts times of the store's clock to this daemon's clock, so that daemons can pass on when something was
/// known to be true without a common clock of their own.
class StoreClock
{
public:
    /// Allowed difference in speed between the two clocks.
    static constexpr double maxDrift = 0.001;

    /// The store answered a call.
    /// @param callStartedAt when the call began; the store's time was read later
    void observe(StoreEra era, std::int64_t storeTimeMs, TimePoint callStartedAt);
    /// @return the earliest time at which the store's clock can have shown @p storeTimeMs; nothing if the clock of this
    /// era has not been observed
    std::optional<TimePoint> earliest(StoreEra era, std::int64_t storeTimeMs, TimePoint now) const;

private:
    StoreEra m_era = 0;
    bool m_isKnown = false;
    Duration m_offset {}; // of this daemon's clock minus the store's clock; a lower bound
    TimePoint m_observedAt;
};

} // namespace monsoonward
