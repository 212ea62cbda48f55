#include "requestgates.h"

namespace monsoonward
{

RequestPreconditions::RequestPreconditions(const EntryOptions &options,
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
    , m_rows(options.own, options.settleTimeout, clock, table, *this, events)
    , m_suspects(options.own.incarnation, clock, *this, events)
{
}

std::optional<Refusal> RequestPreconditions::refusal(const RequestSpec &spec) const
{
    if (m_suspects.suspicionLevel(spec.fingerprint) != SuspicionLevel::Refused) {
        return std::nullopt;
    }
    return suspectRefusal(spec);
}

void RequestPreconditions::begin(const RequestSpec &spec)
{
    const bool needsKeyRow = !spec.idempotent && !spec.idempotencyKey.empty();
    const bool needsIsolation = m_suspects.suspicionLevel(spec.fingerprint) == SuspicionLevel::Suspect;
    if (needsKeyRow || needsIsolation) {
        auto &preconditions = m_preconditions[spec.id];
        preconditions.needsKeyRow = needsKeyRow;
        preconditions.needsIsolation = needsIsolation;
    }
    advance(spec.id);
}

void RequestPreconditions::onEnded(const RequestSpec &spec, Verdict verdict)
{
    const auto it = m_preconditions.find(spec.id);
    if (it == m_preconditions.end()) {
        return;
    }
    const auto preconditions = it->second;
    m_preconditions.erase(it);
    m_suspects.remove(spec.id);
    if (!preconditions.pendingRow.empty()) {
        m_rows.onEnded(spec.id, preconditions.pendingRow, verdict);
    }
    for (const auto &row : preconditions.acquiredRows) {
        m_rows.onEnded(spec.id, row, verdict);
    }
    if (preconditions.needsIsolation && verdict == Verdict::Completed) {
        m_suspects.clear(spec.fingerprint);
    }
}

void RequestPreconditions::onCrashObserved(const RequestSpec &spec)
{
    m_suspects.onCrashObserved(spec);
    isolateWaiting(spec.fingerprint);
}

void RequestPreconditions::onNotice(const SuspectNotice &notice)
{
    m_suspects.onNotice(notice);
    if (notice.crashes != 0) {
        isolateWaiting(notice.fingerprint);
    }
}

void RequestPreconditions::onEntryUp(const Peer &peer)
{
    m_suspects.onEntryUp(peer);
}

void RequestPreconditions::onQuery(const Peer &from, const ClaimQuery &query)
{
    m_output.send(from, m_rows.answer(query));
}

void RequestPreconditions::onReply(const ClaimQueryReply &reply)
{
    m_rows.onReply(reply);
}

void RequestPreconditions::tick()
{
    m_rows.tick();
    for (const auto &it : m_suspects.tick()) {
        beginIsolatedRun(it);
    }
}

bool RequestPreconditions::idle() const
{
    return m_rows.idle();
}

std::size_t RequestPreconditions::pendingRowCount() const
{
    return m_rows.pendingCount();
}

std::size_t RequestPreconditions::suspectCount() const
{
    return m_suspects.size();
}

void RequestPreconditions::onRowAcquired(const RequestId &id, const std::string &rowKey)
{
    auto &preconditions = m_preconditions.at(id);
    preconditions.pendingRow.clear();
    preconditions.acquiredRows.push_back(rowKey);
    preconditions.needsKeyRow =
        preconditions.needsKeyRow && rowKey == isolatedRunRowKey(m_requests.spec(id).fingerprint);
    advance(id);
}

void RequestPreconditions::onRowRefused(const RequestId &id, const std::string &rowKey, const Refusal &refusal)
{
    auto &preconditions = m_preconditions.at(id);
    preconditions.pendingRow.clear();
    const auto &spec = m_requests.spec(id);
    if (rowKey != isolatedRunRowKey(spec.fingerprint)) {
        m_requests.onKeyRefused(id, refusal);
    } else if (refusal.verdict == Verdict::Completed) {
        m_requests.onKeyCertain(id); // an isolated run of the same fingerprint has completed
    } else {
        m_requests.onKeyRefused(id, suspectRefusal(spec));
    }
}

bool RequestPreconditions::queryEntry(const ClaimQuery &query)
{
    for (const auto &it : m_membership.connectedEntries()) {
        if (it.incarnation == query.holder.entry) {
            m_output.send(it, query);
            return true;
        }
    }
    return false;
}

bool RequestPreconditions::hasRequest(const RequestId &id) const
{
    return m_requests.has(id);
}

void RequestPreconditions::broadcast(const SuspectNotice &notice)
{
    for (const auto &it : m_membership.connectedEntries()) {
        m_output.send(it, notice);
    }
}

void RequestPreconditions::sendTo(const Peer &to, const SuspectNotice &notice)
{
    m_output.send(to, notice);
}

void RequestPreconditions::advance(const RequestId &id)
{
    const auto it = m_preconditions.find(id);
    if (it == m_preconditions.end()) {
        m_requests.onKeyCertain(id);
        return;
    }
    auto &preconditions = it->second;
    const auto &spec = m_requests.spec(id);
    if (preconditions.needsKeyRow) {
        preconditions.pendingRow = idempotencyRowKey(spec.customer, spec.idempotencyKey);
        m_rows.acquire(id, preconditions.pendingRow);
    } else if (preconditions.needsIsolation && !preconditions.isolationGranted) {
        m_suspects.enqueue(spec);
    } else {
        m_requests.onKeyCertain(id);
    }
}

void RequestPreconditions::beginIsolatedRun(const RequestId &id)
{
    const auto it = m_preconditions.find(id);
    if (it == m_preconditions.end()) {
        return;
    }
    it->second.isolationGranted = true;
    const auto &spec = m_requests.spec(id);
    const auto suspicionLevel = m_suspects.suspicionLevel(spec.fingerprint);
    if (suspicionLevel == SuspicionLevel::Refused) {
        m_requests.onKeyRefused(id, suspectRefusal(spec));
    } else if (suspicionLevel == SuspicionLevel::Clear) {
        m_suspects.remove(id);
        m_requests.onKeyCertain(id);
    } else {
        it->second.pendingRow = isolatedRunRowKey(spec.fingerprint);
        m_rows.acquire(id, it->second.pendingRow);
    }
}

void RequestPreconditions::isolateWaiting(Fingerprint fingerprint)
{
    for (const auto &it : m_requests.returnToKeying(fingerprint)) {
        auto &preconditions = m_preconditions[it];
        preconditions.needsIsolation = true;
        m_suspects.enqueue(m_requests.spec(it));
    }
}

Refusal RequestPreconditions::suspectRefusal(const RequestSpec &spec) const
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
