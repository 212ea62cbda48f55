#include "requestgates.h"

namespace monsoonward
{

RequestGates::RequestGates(const EntryOptions &options,
                           const Clock &clock,
                           TableService &table,
                           const Membership &membership,
                           EntryRequests &requests,
                           EntryOutput &output,
                           EventLog &events)
    : m_membership(membership)
    , m_requests(requests)
    , m_output(output)
    , m_events(events)
    , m_claims(options.own, options.settleTimeout, clock, table, *this, events)
    , m_suspects(options.own.incarnation, clock, *this, events)
{
}

std::optional<Refusal> RequestGates::refusal(const RequestSpec &spec) const
{
    if (m_suspects.standing(spec.fingerprint) != Standing::Refused) {
        return std::nullopt;
    }
    return suspectRefusal(spec);
}

void RequestGates::enter(const RequestSpec &spec)
{
    const bool needsKey = !spec.idempotent && !spec.idempotencyKey.empty();
    const bool needsTrial = m_suspects.standing(spec.fingerprint) == Standing::Suspect;
    if (needsKey || needsTrial) {
        auto &gate = m_gates[spec.id];
        gate.needsKey = needsKey;
        gate.needsTrial = needsTrial;
    }
    advance(spec.id);
}

void RequestGates::ended(const RequestSpec &spec, Verdict verdict)
{
    const auto it = m_gates.find(spec.id);
    if (it == m_gates.end()) {
        return;
    }
    const auto gate = it->second;
    m_gates.erase(it);
    m_suspects.leave(spec.id);
    if (!gate.pendingRow.empty()) {
        m_claims.ended(spec.id, gate.pendingRow, verdict);
    }
    for (const auto &row : gate.rows) {
        m_claims.ended(spec.id, row, verdict);
    }
    if (gate.needsTrial && verdict == Verdict::Completed) {
        m_suspects.cleared(spec.fingerprint);
    }
}

void RequestGates::crashSeen(const RequestSpec &spec)
{
    m_suspects.crashSeen(spec);
    isolateWaiting(spec.fingerprint);
}

void RequestGates::notice(const SuspectNotice &notice)
{
    m_suspects.notice(notice);
    if (notice.crashes != 0) {
        isolateWaiting(notice.fingerprint);
    }
}

void RequestGates::entryUp(const Peer &peer)
{
    m_suspects.entryUp(peer);
}

void RequestGates::query(const Peer &from, const ClaimQuery &query)
{
    m_output.send(from, m_claims.answer(query));
}

void RequestGates::reply(const ClaimQueryReply &reply)
{
    m_claims.reply(reply);
}

void RequestGates::tick()
{
    m_claims.tick();
    for (const auto &it : m_suspects.tick()) {
        beginTrial(it);
    }
}

bool RequestGates::idle() const
{
    return m_claims.idle();
}

std::size_t RequestGates::rowsBeingTaken() const
{
    return m_claims.taking();
}

std::size_t RequestGates::suspects() const
{
    return m_suspects.size();
}

void RequestGates::rowCertain(const RequestId &id, const std::string &rowKey)
{
    auto &gate = m_gates.at(id);
    gate.pendingRow.clear();
    gate.rows.push_back(rowKey);
    gate.needsKey = gate.needsKey && rowKey == trialRowKey(m_requests.spec(id).fingerprint);
    advance(id);
}

void RequestGates::rowRefused(const RequestId &id, const std::string &rowKey, const Refusal &refusal)
{
    auto &gate = m_gates.at(id);
    gate.pendingRow.clear();
    const auto &spec = m_requests.spec(id);
    if (rowKey != trialRowKey(spec.fingerprint)) {
        m_requests.keyRefused(id, refusal);
    } else if (refusal.verdict == Verdict::Completed) {
        m_requests.keyCertain(id); // an isolated run has completed before
    } else {
        m_requests.keyRefused(id, suspectRefusal(spec));
    }
}

bool RequestGates::askEntry(const ClaimQuery &query)
{
    for (const auto &it : m_membership.entries()) {
        if (it.incarnation == query.holder.entry) {
            m_output.send(it, query);
            return true;
        }
    }
    return false;
}

bool RequestGates::knows(const RequestId &id) const
{
    return m_requests.has(id);
}

void RequestGates::tellEntries(const SuspectNotice &notice)
{
    for (const auto &it : m_membership.entries()) {
        m_output.send(it, notice);
    }
}

void RequestGates::tellEntry(const Peer &to, const SuspectNotice &notice)
{
    m_output.send(to, notice);
}

void RequestGates::advance(const RequestId &id)
{
    const auto it = m_gates.find(id);
    if (it == m_gates.end()) {
        m_requests.keyCertain(id);
        return;
    }
    auto &gate = it->second;
    const auto &spec = m_requests.spec(id);
    if (gate.needsKey) {
        gate.pendingRow = claimRowKey(spec.customer, spec.idempotencyKey);
        m_claims.take(id, gate.pendingRow);
    } else if (gate.needsTrial && !gate.isolated) {
        m_suspects.enqueue(spec);
    } else {
        m_requests.keyCertain(id);
    }
}

void RequestGates::beginTrial(const RequestId &id)
{
    const auto it = m_gates.find(id);
    if (it == m_gates.end()) {
        return;
    }
    it->second.isolated = true;
    const auto &spec = m_requests.spec(id);
    const auto standing = m_suspects.standing(spec.fingerprint);
    if (standing == Standing::Refused) {
        m_requests.keyRefused(id, suspectRefusal(spec));
    } else if (standing == Standing::Clear) {
        m_suspects.leave(id);
        m_requests.keyCertain(id);
    } else {
        it->second.pendingRow = trialRowKey(spec.fingerprint);
        m_claims.take(id, it->second.pendingRow);
    }
}

void RequestGates::isolateWaiting(Fingerprint fingerprint)
{
    for (const auto &it : m_requests.suspect(fingerprint)) {
        auto &gate = m_gates[it];
        gate.needsTrial = true;
        m_suspects.enqueue(m_requests.spec(it));
    }
}

Refusal RequestGates::suspectRefusal(const RequestSpec &spec) const
{
    m_events.record(Event::SuspectRefused,
                    Severity::Warning,
                    "customer \"" + spec.customer.text() + "\" service \"" + spec.service.text() + "\" fingerprint "
                        + std::to_string(spec.fingerprint));
    return {RefusalReason::SuspectedCrash,
            Verdict::NotRun,
            m_suspects.expiresIn(spec.fingerprint),
            "the request was in progress when targets of service \"" + spec.service.text() + "\" crashed"};
}

} // namespace monsoonward
