#include "entryrequests.h"

#include <algorithm>

namespace monsoonward
{

namespace
{

constexpr Duration budgetRetryAfter = std::chrono::seconds(1);

Refusal holderLostRefusal(const EntryRequest &request)
{
    return {RefusalReason::TargetLost,
            Verdict::MayHaveRun,
            std::nullopt,
            "claim " + textOf(request.claim) + " at host " + request.holder.host.text()
                + " was lost after the hand-over"};
}

bool awaitsHolder(EntryState state)
{
    return state == EntryState::Settling || state == EntryState::Cancelling;
}

} // namespace

EntryRequests::EntryRequests(const EntryOptions &options,
                             const Clock &clock,
                             EntryPolicy &policy,
                             Membership &membership,
                             EntryOutput &output,
                             EntryRequestsListener &listener,
                             EventLog &events)
    : m_options(options)
    , m_clock(clock)
    , m_reservations(clock, policy, membership, output)
    , m_policy(policy)
    , m_membership(membership)
    , m_output(output)
    , m_listener(listener)
    , m_events(events)
{
}

void EntryRequests::add(const RequestSpec &spec)
{
    checkInvariant(spec.id.entry == m_options.own.incarnation, "own-request", textOf(spec.id));
    checkInvariant(!has(spec.id), "request-taken-once", textOf(spec.id));
    m_requests[spec.id].spec = spec;
    m_retryBudget.earn();
}

void EntryRequests::onKeyCertain(const RequestId &id)
{
    apply(id, EntryEvent::KeyCertain);
}

void EntryRequests::onKeyRefused(const RequestId &id, const Refusal &refusal)
{
    apply(id, EntryEvent::KeyRefused, &refusal);
}

std::vector<RequestId> EntryRequests::returnToKeying(Fingerprint fingerprint)
{
    std::vector<RequestId> waiting;
    for (const auto &[id, request] : m_requests) {
        if (request.spec.fingerprint == fingerprint && request.state == EntryState::Waiting) {
            waiting.push_back(id);
        }
    }
    for (const auto &it : waiting) {
        apply(it, EntryEvent::Suspected);
    }
    return waiting;
}

const RequestSpec &EntryRequests::spec(const RequestId &id) const
{
    return m_requests.at(id).spec;
}

void EntryRequests::onClaim(const Peer &from, const Claim &claim)
{
    const auto it = m_requests.find(claim.id);
    if (it == m_requests.end()) {
        m_output.rejectClaim(from, claim.id, claim.claim);
        return;
    }
    auto &request = it->second;
    const bool isRepeated = request.mayRun && request.claim == claim.claim;
    if (isRepeated) {
        transition(request, EntryEvent::ClaimRepeated);
        return;
    }
    if (from.incarnation != claim.claim.target || !m_membership.mayHandOver(claim.target, from)) {
        m_output.rejectClaim(from, claim.id, claim.claim);
        dropReservation(claim.id, claim.target);
        return;
    }
    const auto rule = transition(request, EntryEvent::ClaimArrives);
    if (rule.action == EntryAction::HandOver) {
        handOver(request, from, claim);
    } else {
        m_output.rejectClaim(from, claim.id, claim.claim);
    }
}

void EntryRequests::onNeverDispatched(const RequestId &id, const ClaimId &claim)
{
    applyToClaim(id, claim, EntryEvent::NeverDispatched);
}

void EntryRequests::onRunConfirmed(const RequestId &id, const ClaimId &claim)
{
    applyToClaim(id, claim, EntryEvent::RunConfirmed);
}

void EntryRequests::onAnswerEnd(const AnswerEnd &end)
{
    const auto it = m_requests.find(end.id);
    if (it == m_requests.end() || !it->second.mayRun || it->second.claim != end.claim) {
        return;
    }
    if (end.verdict == Verdict::NotRun) {
        onNeverDispatched(end.id, end.claim);
    } else if (end.verdict == Verdict::MayHaveRun) {
        it->second.pendingRefusal =
            Refusal {RefusalReason::EngineFailed, Verdict::MayHaveRun, std::nullopt, end.detail};
        apply(end.id, EntryEvent::AnswerBroken);
    } else if (transition(it->second, EntryEvent::AnswerWhole).action == EntryAction::Complete) {
        complete(end.id, end);
    }
}

void EntryRequests::onLinkLost(const RequestId &id, const ClaimId &claim)
{
    applyToClaim(id, claim, EntryEvent::LinkLost);
}

void EntryRequests::onHolderLost(const Peer &holder)
{
    applyToHolder(holder, EntryEvent::LinkLost);
}

void EntryRequests::onHolderBack(const Peer &holder)
{
    applyToHolder(holder, EntryEvent::HolderBack);
}

void EntryRequests::onHolderGone(const Peer &holder)
{
    applyToHolder(holder, EntryEvent::HolderGone);
}

void EntryRequests::onCallerGone(const RequestId &id)
{
    const Refusal refusal {RefusalReason::CallerGone, Verdict::MayHaveRun, std::nullopt, "the caller has gone"};
    apply(id, EntryEvent::CallerGone, &refusal);
}

void EntryRequests::evict(const RequestId &id, const Refusal &refusal)
{
    apply(id, EntryEvent::Evicted, &refusal);
}

void EntryRequests::dropTarget(const TargetName &target)
{
    for (auto &[id, request] : m_requests) {
        Reservations::drop(request, target);
    }
}

void EntryRequests::dropReservation(const RequestId &id, const TargetName &target)
{
    const auto it = m_requests.find(id);
    if (it != m_requests.end()) {
        Reservations::drop(it->second, target);
    }
}

void EntryRequests::onReservationConsumed(const Peer &from, const RequestId &id)
{
    const auto it = m_requests.find(id);
    if (it != m_requests.end() && it->second.state == EntryState::Waiting) {
        m_reservations.dropReservationsAt(it->second, from);
        m_reservations.reserve(it->second);
    }
}

void EntryRequests::tick()
{
    std::vector<RequestId> ids;
    ids.reserve(m_requests.size());
    for (const auto &[id, request] : m_requests) {
        ids.push_back(id);
    }
    for (const auto &it : ids) {
        runTimers(it);
    }
}

bool EntryRequests::empty() const
{
    return m_requests.empty();
}

std::size_t EntryRequests::size() const
{
    return m_requests.size();
}

std::size_t EntryRequests::count(EntryState state) const
{
    return static_cast<std::size_t>(
        std::count_if(m_requests.begin(), m_requests.end(), [&](const auto &it) { return it.second.state == state; }));
}

EntryState EntryRequests::stateOf(const RequestId &id) const
{
    const auto it = m_requests.find(id);
    return it == m_requests.end() ? EntryState::Ended : it->second.state;
}

bool EntryRequests::has(const RequestId &id) const
{
    return m_requests.count(id) != 0;
}

EntryRule EntryRequests::transition(EntryRequest &request, EntryEvent event)
{
    const auto rule = entryRule(request.state, event);
    request.state = rule.next;
    return rule;
}

void EntryRequests::apply(const RequestId &id, EntryEvent event, const Refusal *eventRefusal)
{
    const auto it = m_requests.find(id);
    if (it == m_requests.end()) {
        return;
    }
    auto &request = it->second;
    const auto rule = transition(request, event);
    if (eventRefusal != nullptr && rule.action != EntryAction::Ignore) {
        request.pendingRefusal = *eventRefusal;
    }
    switch (rule.action) {
    case EntryAction::Reserve:
        m_reservations.reserve(request);
        break;
    case EntryAction::Withdraw:
        m_reservations.withdraw(request, {});
        break;
    case EntryAction::AskHolder:
        askHolder(request, event);
        break;
    case EntryAction::Replace:
        reserveAgain(request);
        break;
    case EntryAction::RefuseAsTold: {
        const auto refusal = *request.pendingRefusal; // a copy, because endRefused() destroys the request
        endRefused(id, refusal);
        break;
    }
    case EntryAction::RefuseNotRun: {
        auto refusal = request.pendingRefusal.value_or(holderLostRefusal(request));
        refusal.verdict = Verdict::NotRun;
        endRefused(id, refusal);
        break;
    }
    case EntryAction::RefuseMayHaveRun: {
        request.crashed = looksLikeCrash(request, event);
        auto refusal = request.pendingRefusal.value_or(holderLostRefusal(request));
        refusal.verdict = Verdict::MayHaveRun;
        endRefused(id, refusal);
        break;
    }
    case EntryAction::HandOver: // this and RejectClaim are done by onClaim()
    case EntryAction::RejectClaim:
    case EntryAction::Complete: // done by onAnswerEnd()
    case EntryAction::Ignore:
        break;
    }
}

void EntryRequests::applyToClaim(const RequestId &id, const ClaimId &claim, EntryEvent event)
{
    const auto it = m_requests.find(id);
    if (it == m_requests.end() || !it->second.mayRun || it->second.claim != claim) {
        return;
    }
    if (event == EntryEvent::NeverDispatched) {
        it->second.mayRun = false;
    }
    apply(id, event);
}

void EntryRequests::applyToHolder(const Peer &holder, EntryEvent event)
{
    for (const auto &it : heldBy(holder)) {
        apply(it, event);
    }
}

bool EntryRequests::looksLikeCrash(const EntryRequest &request, EntryEvent event) const
{
    switch (event) {
    case EntryEvent::AnswerBroken:
    case EntryEvent::HolderGone:
        return true;
    case EntryEvent::SettleTimeout:
        return !m_membership.isConnected(request.holder) && !m_membership.manyRecentLosses();
    default:
        return false;
    }
}

std::vector<RequestId> EntryRequests::heldBy(const Peer &holder) const
{
    std::vector<RequestId> held;
    for (const auto &[id, request] : m_requests) {
        if (request.mayRun && request.holder == holder) {
            held.push_back(id);
        }
    }
    return held;
}

void EntryRequests::handOver(EntryRequest &request, const Peer &from, const Claim &claim)
{
    checkInvariant(!request.mayRun, "one-outstanding-hand-over", textOf(request.spec.id));
    request.claim = claim.claim;
    request.holder = from;
    request.mayRun = true;
    request.pendingRefusal.reset();
    m_reservations.withdraw(request, claim.target);
    m_policy.onHandedOver(request.spec, claim.target);
    m_output.handOver(from, claim.id, claim.claim);
}

void EntryRequests::askHolder(EntryRequest &request, EntryEvent event)
{
    if (event == EntryEvent::Overrun) {
        request.pendingRefusal = Refusal {RefusalReason::Expired,
                                          Verdict::MayHaveRun,
                                          std::nullopt,
                                          "the deadline passed while it ran at host " + request.holder.host.text()};
    }
    if (event != EntryEvent::HolderBack) {
        request.settleBy = m_clock.now() + m_options.settleTimeout;
    }
    m_output.send(request.holder, Cancel {request.spec.id, request.claim});
}

void EntryRequests::reserveAgain(EntryRequest &request)
{
    const auto id = request.spec.id;
    request.pendingRefusal.reset();
    m_policy.onReturned(request.spec);
    if (request.spec.deadline <= m_clock.now()) {
        evict(id, {RefusalReason::Expired, Verdict::NotRun, std::nullopt, "the deadline passed before a second try"});
    } else if (!m_retryBudget.trySpend()) {
        m_events.record(Event::RetryBudgetSpent, Severity::Warning, textOf(id));
        evict(id, {RefusalReason::TargetLost, Verdict::NotRun, budgetRetryAfter, "the retry budget is spent"});
    } else {
        m_reservations.reserve(request);
    }
}

void EntryRequests::endRefused(RequestId id, const Refusal &refusal)
{
    const auto it = m_requests.find(id);
    checkInvariant(it != m_requests.end(), "one-final-answer", textOf(id));
    auto request = std::move(it->second);
    m_requests.erase(it);
    m_reservations.withdraw(request, {});
    const bool contradictory = refusal.verdict == Verdict::NotRun && request.mayRun;
    checkInvariant(
        !contradictory, "not-run-is-true", textOf(id) + " may have run under claim " + textOf(request.claim));
    if (request.mayRun) {
        m_events.record(Event::RequestLost, Severity::Warning, textOf(id) + ": " + refusal.detail);
    }
    if (request.crashed) {
        m_listener.onCrashObserved(request.spec, request.claim);
    }
    m_policy.onEnded(request.spec, refusal.verdict, std::nullopt);
    m_listener.onEnded(request.spec, refusal.verdict);
    m_output.refuse(id, refusal);
}

void EntryRequests::complete(RequestId id, const AnswerEnd &end)
{
    const auto it = m_requests.find(id);
    checkInvariant(it != m_requests.end(), "one-final-answer", textOf(id));
    checkInvariant(it->second.mayRun, "answer-after-hand-over", textOf(id));
    const auto spec = it->second.spec;
    m_requests.erase(it);
    RunStats stats;
    stats.promptTokens = end.promptTokens;
    stats.cachedTokens = end.cachedTokens;
    stats.outputTokens = end.outputTokens;
    m_policy.onEnded(spec, Verdict::Completed, stats);
    m_listener.onEnded(spec, Verdict::Completed);
    m_output.complete(id, end);
}

void EntryRequests::runTimers(const RequestId &id)
{
    const auto it = m_requests.find(id);
    if (it == m_requests.end()) {
        return;
    }
    auto &request = it->second;
    const auto now = m_clock.now();
    if (request.state == EntryState::Waiting) {
        m_reservations.reserve(request);
    } else if (request.state == EntryState::HandedOver && now >= request.spec.deadline + m_options.overrunLimit) {
        apply(id, EntryEvent::Overrun);
    } else if (awaitsHolder(request.state) && now >= request.settleBy) {
        apply(id, EntryEvent::SettleTimeout);
    }
}

} // namespace monsoonward
