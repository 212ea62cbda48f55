#pragma once

#include "reservations.h"
#include "retrybudget.h"

#include <unordered_map>

namespace monsoonward
{

/// @brief Hears of a request's way through the table; each call comes before the caller gets its answer.
class EntryRequestsListener
{
public:
    virtual ~EntryRequestsListener() = default;
    /// The request was in progress at a holder that was lost, or its engine broke off.
    virtual void crashObserved(const RequestSpec &spec, const ClaimId &claim) = 0;
    virtual void ended(const RequestSpec &spec, Verdict verdict) = 0;
};

/// @brief The requests of one entry, each moved through the entry table.
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

    /// Takes @p spec on, in state Keying.
    void add(const RequestSpec &spec);
    void keyCertain(const RequestId &id);
    void keyRefused(const RequestId &id, const Refusal &refusal);
    /// Takes waiting requests with the fingerprint back to Keying. @return their IDs
    std::vector<RequestId> returnToKeying(Fingerprint fingerprint);
    void claim(const Peer &from, const Claim &claim);
    /// The holder's word that the claim never will be dispatched.
    void neverDispatched(const RequestId &id, const ClaimId &claim);
    void runConfirmed(const RequestId &id, const ClaimId &claim);
    void answerEnd(const AnswerEnd &end);
    void linkLost(const RequestId &id, const ClaimId &claim);
    void holderLost(const Peer &holder);
    void holderBack(const Peer &holder);
    void holderGone(const Peer &holder);
    void callerGone(const RequestId &id);
    void evict(const RequestId &id, const Refusal &refusal);
    /// The target is out of choice: its reservations count no more.
    void dropTarget(const TargetName &target);
    void dropReservation(const RequestId &id, const TargetName &target);
    /// A claim of the daemon @p from came to nothing; its reservation is used up.
    void reservationConsumed(const Peer &from, const RequestId &id);
    void tick();

    bool empty() const;
    std::size_t size() const;
    std::size_t count(EntryState state) const;
    EntryState stateOf(const RequestId &id) const;
    const RequestSpec &spec(const RequestId &id) const;
    bool has(const RequestId &id) const;

private:
    using Requests = std::unordered_map<RequestId, EntryRequest>;

    EntryRule transition(EntryRequest &request, EntryEvent event);
    void apply(const RequestId &id, EntryEvent event, const Refusal *eventRefusal = nullptr);
    void applyToClaim(const RequestId &id, const ClaimId &claim, EntryEvent event);
    void applyToHolder(const Peer &holder, EntryEvent event);
    bool looksLikeCrash(const EntryRequest &request, EntryEvent event) const;
    std::vector<RequestId> heldBy(const Peer &holder) const;
    void handOver(EntryRequest &request, const Peer &from, const Claim &claim);
    void askHolder(EntryRequest &request, EntryEvent event);
    void offerAgain(EntryRequest &request);
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
