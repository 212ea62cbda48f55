#pragma once

#include "monsoonward/policy/requestspec.h"

#include <optional>
#include <vector>

namespace monsoonward
{

/// @brief A reservation as the target holds it; @c deadline is on the target's clock.
struct Reservation
{
    Peer entry;
    Reserve reserve;
    TimePoint deadline {};
    MONSOONWARD_FIELDS(entry, reserve, deadline)
};

/// @brief A reservation to claim and the engine that has room for it.
struct ClaimChoice
{
    Reservation reservation;
    EngineName engine;
    MONSOONWARD_FIELDS(reservation, engine)
};

/// @brief Decides at a target daemon which reservation is claimed next and for which engine. One for each target.
/// A slot counts as used from nextClaim() until onClaimReleased(), onFinished() or lost.
class TargetPolicy
{
public:
    virtual ~TargetPolicy() = default;

    virtual void configure(const std::vector<EngineSpec> &engines) = 0;
    virtual void reserve(const Reservation &reservation) = 0;
    virtual void withdraw(const RequestId &id) = 0;
    /// Drops all reservations of an entry that is gone.
    virtual void onEntryGone(const Peer &entry) = 0;

    /// @return the next request to claim; its reservation is taken out and a slot of the engine is used
    virtual std::optional<ClaimChoice> nextClaim() = 0;
    /// The claim came to nothing; the slot is free again.
    virtual void onClaimReleased(const RequestId &id) = 0;
    virtual void onDispatched(const RequestId &id) = 0;
    virtual void onFirstToken(const RequestId &id) = 0;
    virtual void onTokens(const RequestId &id, std::uint32_t count) = 0;
    /// The engine is done with the request, whole or not.
    virtual void onFinished(const RequestId &id, const RunStats &stats) = 0;
    /// The engine's own load report; it lags.
    virtual void onEngineLoad(const EngineName &engine, std::uint32_t running, std::uint32_t waiting) = 0;
    /// Requests that the engine still runs from before this daemon started; their slots count as used until it says
    /// less.
    virtual void onInheritedRequests(const EngineName &engine, std::uint32_t running) = 0;
    virtual void setEngineUp(const EngineName &engine, bool up) = 0;
    virtual void onCacheEvent(const EngineName &engine,
                              const std::vector<PrefixHash> &cached,
                              const std::vector<PrefixHash> &evicted) = 0;

    /// Reservations whose deadline can't be met here any more; they are taken out.
    virtual std::vector<ReservationDropped> tick() = 0;
    /// @return the target's heartbeat; @c accepting is filled in by the owner
    virtual TargetStatus status() = 0;
};

} // namespace monsoonward
