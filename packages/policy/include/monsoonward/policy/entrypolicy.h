#pragma once

#include "monsoonward/policy/requestspec.h"

#include <optional>
#include <vector>

namespace monsoonward
{

/// @brief A waiting request that the policy takes out, with the final answer for its caller.
struct Eviction
{
    RequestId id;
    Refusal refusal;
    MONSOONWARD_FIELDS(id, refusal)
};

/// @brief Sends the policy's messages to other entries.
class EntryPolicyOutput
{
public:
    virtual ~EntryPolicyOutput() = default;
    virtual void sendToEntry(const Peer &to, const Message &message) = 0;
};

/// @brief Decides at an entry which requests are admitted and where each is reserved. No I/O, no threads; the owner
/// passes in what happens. Verdicts of refusals are always NotRun: the policy never sees a request after hand-over as
/// waiting.
class EntryPolicy
{
public:
    virtual ~EntryPolicy() = default;

    virtual void configure(const ConfigurationPtr &configuration) = 0;

    /// Takes @p spec as waiting, or refuses it.
    /// @return the refusal, or nothing when admitted
    virtual std::optional<Refusal> admit(const RequestSpec &spec) = 0;
    /// @return targets where @p spec should be reserved in addition to @p reserved; empty: nowhere new
    virtual std::vector<TargetName> targetsToReserve(const RequestSpec &spec,
                                                     const std::vector<TargetName> &reserved) = 0;
    /// The request waits no more: it was handed over to @p target.
    virtual void onHandedOver(const RequestSpec &spec, const TargetName &target) = 0;
    /// A handed-over request surely did not run and waits again.
    virtual void onReturned(const RequestSpec &spec) = 0;
    /// The request has ended, from whichever state. @p stats only for completed ones.
    virtual void onEnded(const RequestSpec &spec, Verdict verdict, const std::optional<RunStats> &stats) = 0;

    virtual void onTargetStatus(const TargetStatus &status) = 0;
    /// The target gets no new work until its next status (dead, draining or unreachable).
    virtual void onTargetGone(const TargetName &target) = 0;
    virtual void onEntryUp(const Peer &peer) = 0;
    virtual void onEntryDown(const Peer &peer) = 0;
    /// CloseTiers, TiersClosed and UsageReport from another entry.
    virtual void onMessage(const Peer &from, const Message &message) = 0;

    /// Called at least every 100 ms of the clock. @return waiting requests to end now
    virtual std::vector<Eviction> tick() = 0;
    /// @return whether @p spec's tier is open at this entry
    virtual bool isTierOpen(const ServiceName &service, Tier tier) const = 0;
};

} // namespace monsoonward
