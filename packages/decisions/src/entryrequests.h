#pragma once

#include "reservations.h"
#include "retrybudget.h"

#include <unordered_map>

namespace monsoonward
{

/// @brief Is notified of requests' ends, before the caller gets its answer.
class EntryRequestsListener
{
public:
    virtual ~EntryRequestsListener() = default;
    /// The request ended in a way that suggests a crash: its holder was lost or its engine broke off the answer.
    virtual void onCrashObserved(const RequestSpec &spec, const ClaimId &claim) = 0;
    virtual void onEnded(const RequestSpec &spec, Verdict verdict) = 0;
};

/// @brief All requests of one entry. Applies the events to their states as entryTable() says, and performs the actions.
/// A request's holder is the target daemon that it is handed over to.
class EntryRequests
{
public:
    EntryRequests(const EntryOptions &options,
                  const Clock &clock,
                  EntryPolicy &policy,
                  Membership &membership,
                  EntryOutput &output,
                  EntryRequestsListener &listener,
                  EventLog &events);

    /// Adds a request in state Keying.
    void add(const RequestSpec &spec);
    /// The request has acquired all rows that it needs.
    void onKeyCertain(const RequestId &id);
    /// The request can't get a row that it needs, or must not run: ends it with @p refusal.
    void onKeyRefused(const RequestId &id, const Refusal &refusal);
    /// Moves waiting requests with the fingerprint back to Keying. @return their IDs
    std::vector<RequestId> returnToKeying(Fingerprint fingerprint);
    /// Hands the request over to the claim or rejects the claim.
    void onClaim(const Peer &from, const Claim &claim);
    /// The holder has confirmed that it didn't dispatch the request and won't under this claim.
    void onNeverDispatched(const RequestId &id, const ClaimId &claim);
    /// The holder has confirmed that it dispatched the request.
    void onRunConfirmed(const RequestId &id, const ClaimId &claim);
    void onAnswerEnd(const AnswerEnd &end);
    /// The request's stream to its holder closed.
    void onLinkLost(const RequestId &id, const ClaimId &claim);
    /// The connection to the holder closed.
    void onHolderLost(const Peer &holder);
    /// The same incarnation of the holder is connected again.
    void onHolderBack(const Peer &holder);
    /// Another incarnation runs on the holder's host.
    void onHolderGone(const Peer &holder);
    void onCallerGone(const RequestId &id);
    /// Ends a request that hasn't been handed over; otherwise does nothing.
    void evict(const RequestId &id, const Refusal &refusal);
    /// The target became unusable: forgets all reservations at it.
    void dropTarget(const TargetName &target);
    /// Forgets the reservation of one request, which the target has dropped.
    void dropReservation(const RequestId &id, const TargetName &target);
    /// A claim by the daemon @p from has failed and used up its reservation; reserves the request elsewhere.
    void onReservationConsumed(const Peer &from, const RequestId &id);
    /// Runs timers.
    void tick();

    bool empty() const;
    std::size_t size() const;
    std::size_t count(EntryState state) const;
    /// @return Ended if the request isn't known
    EntryState stateOf(const RequestId &id) const;
    const RequestSpec &spec(const RequestId &id) const;
    bool has(const RequestId &id) const;

private:
    using Requests = std::unordered_map<RequestId, EntryRequest>;

    /// Sets the request's next state. @return the rule; its action is left to the caller
    EntryRule transition(EntryRequest &request, EntryEvent event);
    /// Sets the request's next state and performs the action of the rule.
    /// @param eventRefusal the refusal that came with the event
    void apply(const RequestId &id, EntryEvent event, const Refusal *eventRefusal = nullptr);
    void applyToClaim(const RequestId &id, const ClaimId &claim, EntryEvent event);
    void applyToHolder(const Peer &holder, EntryEvent event);
    bool looksLikeCrash(const EntryRequest &request, EntryEvent event) const;
    std::vector<RequestId> heldBy(const Peer &holder) const;
    void handOver(EntryRequest &request, const Peer &from, const Claim &claim);
    void askHolder(EntryRequest &request, EntryEvent event);
    void reserveAgain(EntryRequest &request);
    void endRefused(RequestId id, const Refusal &refusal);
    void complete(RequestId id, const AnswerEnd &end);
    void runTimers(const RequestId &id);

    EntryOptions m_options;
    const Clock &m_clock;
    Reservations m_reservations;
    EntryPolicy &m_policy;
    Membership &m_membership;
    EntryOutput &m_output;
    EntryRequestsListener &m_listener;
    EventLog &m_events;
    RetryBudget m_retryBudget;
    Requests m_requests;
};

} // namespace monsoonward
