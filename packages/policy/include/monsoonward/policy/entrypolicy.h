#pragma once

#include "monsoonward/policy/requestspec.h"

#include <optional>
#include <vector>

namespace monsoonward
{

/// @brief A waiting request that the policy removes, and the refusal to send to its caller.
struct Eviction
{
    RequestId id;
    Refusal refusal;
    MONSOONWARD_FIELDS(id, refusal)
};

/// @brief Sends the policy's messages to the other entries.
class EntryPolicyOutput
{
public:
    virtual ~EntryPolicyOutput() = default;
    virtual void sendToEntry(const Peer &to, const Message &message) = 0;
};

/// @brief Decides which requests an entry admits and at which targets it reserves them. It does no I/O and starts no
/// threads; its owner reports every event to it.
///
/// The verdict of each refusal is NotRun, since the policy only refuses requests that have not been handed over, or
/// that are known not to have run.
class EntryPolicy
{
public:
    virtual ~EntryPolicy() = default;

    virtual void configure(const ConfigurationPtr &configuration) = 0;

    /// Adds @p spec to the waiting requests, or refuses it.
    /// @return the refusal, or nothing if the request was admitted
    virtual std::optional<Refusal> admit(const RequestSpec &spec) = 0;
    /// @param reserved targets where @p spec already has a reservation
    /// @return further targets where @p spec should be reserved now; may be empty
    virtual std::vector<TargetName> targetsToReserve(const RequestSpec &spec,
                                                     const std::vector<TargetName> &reserved) = 0;
    /// The request was handed over to @p target and no longer waits.
    virtual void onHandedOver(const RequestSpec &spec, const TargetName &target) = 0;
    /// A request that was handed over is known not to have run; it waits again.
    virtual void onReturned(const RequestSpec &spec) = 0;
    /// The request has ended, whether it was waiting or handed over.
    /// @param stats only set for completed requests
    virtual void onEnded(const RequestSpec &spec, Verdict verdict, const std::optional<RunStats> &stats) = 0;

    virtual void onTargetStatus(const TargetStatus &status) = 0;
    /// The target is dead, draining or unreachable. It gets no new work until its next status.
    virtual void onTargetGone(const TargetName &target) = 0;
    virtual void onEntryUp(const Peer &peer) = 0;
    virtual void onEntryDown(const Peer &peer) = 0;
    /// Handles CloseTiers, TiersClosed and UsageReport from another entry; ignores other messages.
    virtual void onMessage(const Peer &from, const Message &message) = 0;

    /// Does the periodic work. Must be called at least every 100 ms.
    /// @return the requests to refuse now; they no longer wait
    virtual std::vector<Eviction> tick() = 0;
    /// @return whether this entry admits and places requests of @p tier for @p service
    virtual bool isTierOpen(const ServiceName &service, Tier tier) const = 0;
};

} // namespace monsoonward
