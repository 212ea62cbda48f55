#include "idempotency.h"

#include <set>

namespace monsoonward
{

namespace
{

constexpr std::size_t maxBatch = 64; // rows per write
constexpr int maxAttempts = 5; // writes per request
constexpr Duration storeRetryAfter = std::chrono::seconds(2);

Refusal duplicateKeyRefusal(Verdict verdict, const IdempotencyRow &row, const std::string &detail)
{
    return {RefusalReason::DuplicateKey,
            verdict,
            std::nullopt,
            "the idempotency key is held by request " + textOf(row.holder) + ", " + detail};
}

} // namespace

IdempotencyRows::IdempotencyRows(const Peer &own,
                                 Duration queryTimeout,
                                 const Clock &clock,
                                 TableService &table,
                                 IdempotencyListener &listener,
                                 EventLog &events)
    : m_own(own)
    , m_queryTimeout(queryTimeout)
    , m_clock(clock)
    , m_table(table)
    , m_listener(listener)
    , m_events(events)
    , m_rowUpdates(clock, table)
    , m_rowExpiry(clock, table)
{
}

void IdempotencyRows::acquire(const RequestId &id, const std::string &rowKey)
{
    checkInvariant(m_acquisitions.count(id) == 0, "one-row-at-a-time", textOf(id));
    m_acquisitions[id].rowKey = rowKey;
    if (!m_rowExpiry.epoch()) {
        refuseStoreUnavailable(id, "the claim epoch has not been read yet", false);
        return;
    }
    enqueueWrite(id, 0);
}

void IdempotencyRows::onEnded(const RequestId &id, const std::string &rowKey, Verdict verdict)
{
    const auto it = m_acquisitions.find(id);
    if (it != m_acquisitions.end() && it->second.rowKey == rowKey) {
        checkInvariant(verdict == Verdict::NotRun, "hand-over-after-claim", textOf(id));
        it->second.requestEnded = true;
    } else if (verdict == Verdict::NotRun) {
        m_rowUpdates.add(rowKey, id, IdempotencyRowState::Released);
    } else if (verdict == Verdict::Completed) {
        m_rowUpdates.add(rowKey, id, IdempotencyRowState::Completed);
    }
}

ClaimQueryReply IdempotencyRows::answer(const ClaimQuery &query) const
{
    const auto &holder = query.holder;
    const auto acquisition = m_acquisitions.find(holder);
    const bool requestEnded = acquisition != m_acquisitions.end() && acquisition->second.requestEnded;
    const bool notRun = !m_listener.hasRequest(holder) && (requestEnded || m_rowUpdates.isReleasing(holder));
    return {holder, query.sequence, notRun ? Verdict::NotRun : Verdict::MayHaveRun};
}

void IdempotencyRows::onReply(const ClaimQueryReply &reply)
{
    for (const auto &[id, acquisition] : m_acquisitions) {
        if (acquisition.step == Step::Querying && acquisition.querySequence == reply.sequence) {
            onVerdict(RequestId(id), reply.verdict);
            return;
        }
    }
}

void IdempotencyRows::tick()
{
    m_rowExpiry.tick();
    m_rowUpdates.tick();
    std::vector<RequestId> unanswered;
    for (const auto &[id, acquisition] : m_acquisitions) {
        if (acquisition.step == Step::Querying && m_clock.now() - acquisition.queriedAt >= m_queryTimeout) {
            unanswered.push_back(id);
        }
    }
    for (const auto &it : unanswered) {
        onVerdict(it, Verdict::MayHaveRun);
    }
}

bool IdempotencyRows::idle() const
{
    return m_acquisitions.empty() && m_rowUpdates.empty();
}

std::size_t IdempotencyRows::pendingCount() const
{
    return m_acquisitions.size();
}

void IdempotencyRows::enqueueWrite(const RequestId &id, std::uint64_t expectedVersion)
{
    auto &acquisition = m_acquisitions.at(id);
    if (acquisition.requestEnded) {
        m_acquisitions.erase(id);
        return;
    }
    if (++acquisition.attempts > maxAttempts) {
        refuseStoreUnavailable(id, "the idempotency row changed too often", true);
        return;
    }
    acquisition.step = Step::Queued;
    acquisition.expectedVersion = expectedVersion;
    m_writeQueue.push_back(id);
    writeBatch();
}

void IdempotencyRows::writeBatch()
{
    if (m_writing || m_writeQueue.empty()) {
        return;
    }
    std::vector<RowWrite> writes;
    std::vector<RequestId> ids;
    std::vector<RequestId> deferred;
    std::set<std::string> keys;
    for (const auto &id : m_writeQueue) {
        auto &acquisition = m_acquisitions.at(id);
        if (acquisition.requestEnded) {
            m_acquisitions.erase(id);
            continue;
        }
        // A write must not contain the same row twice, or both requests would believe that they hold it.
        if (writes.size() == maxBatch || !keys.insert(acquisition.rowKey).second) {
            deferred.push_back(id);
            continue;
        }
        acquisition.step = Step::Writing;
        const IdempotencyRow row {id, m_own.host, IdempotencyRowState::Held, *m_rowExpiry.epoch()};
        writes.push_back({acquisition.rowKey, encode(row), acquisition.expectedVersion});
        ids.push_back(id);
    }
    m_writeQueue = deferred;
    if (writes.empty()) {
        return;
    }
    m_writing = true;
    m_table.write(writes, [this, ids, alive = Alive(m_alive)](const Result<void> &result) {
        if (!alive.expired()) {
            m_writing = false;
            onWritten(ids, result);
            writeBatch();
        }
    });
}

void IdempotencyRows::onWritten(const std::vector<RequestId> &ids, const Result<void> &result)
{
    for (const auto &it : ids) {
        if (result) {
            onAcquired(it);
        } else if (result.error().code == ErrorCode::Unavailable) {
            refuseStoreUnavailable(it, result.error().message, m_acquisitions.at(it).attempts > 1);
        } else {
            readBack(it);
        }
    }
}

void IdempotencyRows::readBack(const RequestId &id)
{
    auto &acquisition = m_acquisitions.at(id);
    acquisition.step = Step::Reading;
    m_table.read(acquisition.rowKey, [this, id, alive = Alive(m_alive)](const Result<std::optional<Row>> &result) {
        if (!alive.expired()) {
            onRow(id, result);
        }
    });
}

void IdempotencyRows::onRow(const RequestId &id, const Result<std::optional<Row>> &result)
{
    if (!result) {
        refuseStoreUnavailable(id, result.error().message, true);
        return;
    }
    if (!result.value()) {
        enqueueWrite(id, 0);
        return;
    }
    const auto &row = *result.value();
    const auto decoded = decodeIdempotencyRow(row.value);
    if (!decoded) {
        refuse(id,
               {RefusalReason::DuplicateKey, Verdict::MayHaveRun, std::nullopt, "row \"" + row.key + "\" is malformed"},
               false);
    } else if (decoded->holder == id && decoded->state == IdempotencyRowState::Held) {
        onAcquired(id);
    } else {
        onRowOfOther(id, row, *decoded);
    }
}

void IdempotencyRows::onRowOfOther(const RequestId &id, const Row &row, const IdempotencyRow &decoded)
{
    switch (decoded.state) {
    case IdempotencyRowState::Released:
        enqueueWrite(id, row.version);
        return;
    case IdempotencyRowState::Completed:
        refuse(id, duplicateKeyRefusal(Verdict::Completed, decoded, "which has completed"), false);
        return;
    case IdempotencyRowState::Held:
        queryHolder(id, row, decoded);
        return;
    }
}

void IdempotencyRows::queryHolder(const RequestId &id, const Row &row, const IdempotencyRow &decoded)
{
    auto &acquisition = m_acquisitions.at(id);
    acquisition.step = Step::Querying;
    acquisition.queriedAt = m_clock.now();
    acquisition.querySequence = ++m_lastQuerySequence;
    acquisition.heldRow = row;
    const ClaimQuery query {decoded.holder, acquisition.querySequence};
    if (decoded.holder.entry == m_own.incarnation) {
        onVerdict(id, answer(query).verdict);
    } else if (!m_listener.queryEntry(query)) {
        onVerdict(id, Verdict::MayHaveRun);
    }
}

void IdempotencyRows::onVerdict(const RequestId &id, Verdict verdict)
{
    const auto heldRow = m_acquisitions.at(id).heldRow;
    const auto decoded = *decodeIdempotencyRow(heldRow.value);
    if (verdict != Verdict::NotRun) {
        refuse(id, duplicateKeyRefusal(Verdict::MayHaveRun, decoded, "which may have run"), false);
        return;
    }
    m_events.record(
        Event::KeyTakenOver, Severity::Info, textOf(id) + " takes over the row of " + textOf(decoded.holder));
    enqueueWrite(id, heldRow.version);
}

void IdempotencyRows::onAcquired(const RequestId &id)
{
    const auto acquisition = m_acquisitions.at(id);
    m_acquisitions.erase(id);
    if (acquisition.requestEnded) {
        m_rowUpdates.add(acquisition.rowKey, id, IdempotencyRowState::Released);
    } else {
        m_listener.onRowAcquired(id, acquisition.rowKey);
    }
}

void IdempotencyRows::refuse(const RequestId &id, const Refusal &refusal, bool mayHaveWritten)
{
    const auto acquisition = m_acquisitions.at(id);
    m_acquisitions.erase(id);
    if (mayHaveWritten) {
        m_rowUpdates.add(acquisition.rowKey, id, IdempotencyRowState::Released);
    }
    if (!acquisition.requestEnded) {
        m_listener.onRowRefused(id, acquisition.rowKey, refusal);
    }
}

void IdempotencyRows::refuseStoreUnavailable(const RequestId &id, const std::string &detail, bool mayHaveWritten)
{
    m_events.record(Event::KeyStoreUnavailable, Severity::Warning, textOf(id) + ": " + detail);
    refuse(id, {RefusalReason::StoreUnavailable, Verdict::NotRun, storeRetryAfter, detail}, mayHaveWritten);
}

} // namespace monsoonward
