#pragma once

#include "monsoonward/policy/requestspec.h"

#include <optional>
#include <vector>

namespace monsoonward
{

/// @brief A reservation that an entry has placed at this target. @c deadline is on the target's clock.
struct Reservation
{
    Peer entry;
    Reserve reserve;
    TimePoint deadline {};
    MONSOONWARD_FIELDS(entry, reserve, deadline)
};

/// @brief A reservation to claim and the engine that the request would run on.
struct ClaimChoice
{
    Reservation reservation;
    EngineName engine;
    MONSOONWARD_FIELDS(reservation, engine)
};

/// @brief Decides which reservation a target claims next and which engine it runs on. A target daemon has one
/// TargetPolicy per target.
///
/// nextClaim() occupies a slot of the chosen engine. onClaimReleased() and onFinished() free it, and so does a
/// configure() that removes the engine.
class TargetPolicy
{
public:
    virtual ~TargetPolicy() = default;

    virtual void configure(const std::vector<EngineSpec> &engines) = 0;
    virtual void reserve(const Reservation &reservation) = 0;
    virtual void withdraw(const RequestId &id) = 0;
    /// Drops all reservations of an entry that has left or restarted.
    virtual void onEntryGone(const Peer &entry) = 0;

    /// Removes the chosen reservation from the queue and occupies a slot of the engine.
    /// @return the next request to claim, or nothing if no reservation can be placed now
    virtual std::optional<ClaimChoice> nextClaim() = 0;
    /// The claim was rejected or abandoned before the request was dispatched. Frees the slot.
    virtual void onClaimReleased(const RequestId &id) = 0;
    virtual void onDispatched(const RequestId &id) = 0;
    virtual void onFirstToken(const RequestId &id) = 0;
    virtual void onTokens(const RequestId &id, std::uint32_t count) = 0;
    /// The engine has finished the request, successfully or not. Frees the slot.
    virtual void onFinished(const RequestId &id, const RunStats &stats) = 0;
    /// The engine's own load report. It lags behind the actual load.
    virtual void onEngineLoad(const EngineName &engine, std::uint32_t running, std::uint32_t waiting) = 0;
    /// The engine still runs @p running requests that were dispatched before this daemon started. Their slots count as
    /// occupied until a later call reports fewer.
    virtual void onInheritedRequests(const EngineName &engine, std::uint32_t running) = 0;
    virtual void setEngineUp(const EngineName &engine, bool up) = 0;
    virtual void onCacheEvent(const EngineName &engine,
                              const std::vector<PrefixHash> &cached,
                              const std::vector<PrefixHash> &evicted) = 0;

    /// Removes the reservations whose deadline has passed.
    /// @return the removed reservations
    virtual std::vector<ReservationDropped> tick() = 0;
    /// @return the status for the target's heartbeat; the caller sets @c accepting
    virtual TargetStatus status() = 0;
};

} // namespace monsoonward
