#include "idempotency.h"

#include <set>

namespace monsoonward
{

namespace
{

constexpr std::size_t maxBatch = 64; // rows of one write
constexpr int maxTries = 5; // writes for one request
constexpr Duration storeRetryAfter = std::chrono::seconds(2);

Refusal duplicate(Verdict verdict, const ClaimRow &row, const std::string &detail)
{
    return {RefusalReason::DuplicateKey,
            verdict,
            std::nullopt,
            "the idempotency key is held by request " + textOf(row.holder) + ", " + detail};
}

} // namespace

IdempotencyClaims::IdempotencyClaims(const Peer &own,
                                     Duration askTimeout,
                                     const Clock &clock,
                                     TableService &table,
                                     IdempotencyListener &listener,
                                     EventLog &events)
    : m_own(own)
    , m_askTimeout(askTimeout)
    , m_clock(clock)
    , m_table(table)
    , m_listener(listener)
    , m_events(events)
    , m_updates(clock, table)
    , m_expiry(clock, table)
{
}

void IdempotencyClaims::take(const RequestId &id, const std::string &rowKey)
{
    checkInvariant(m_taking.count(id) == 0, "one-row-at-a-time", textOf(id));
    m_taking[id].rowKey = rowKey;
    if (!m_expiry.epoch()) {
        refuseStore(id, "the claim epoch has not been read yet", false);
        return;
    }
    queue(id, 0);
}

void IdempotencyClaims::ended(const RequestId &id, const std::string &rowKey, Verdict verdict)
{
    const auto it = m_taking.find(id);
    if (it != m_taking.end() && it->second.rowKey == rowKey) {
        checkInvariant(verdict == Verdict::NotRun, "hand-over-after-claim", textOf(id));
        it->second.abandoned = true;
    } else if (verdict == Verdict::NotRun) {
        m_updates.add(rowKey, id, ClaimRowState::Released);
    } else if (verdict == Verdict::Completed) {
        m_updates.add(rowKey, id, ClaimRowState::Completed);
    }
}

ClaimQueryReply IdempotencyClaims::answer(const ClaimQuery &query) const
{
    const auto &holder = query.holder;
    const auto taking = m_taking.find(holder);
    const bool abandoned = taking != m_taking.end() && taking->second.abandoned;
    const bool never = !m_listener.knows(holder) && (abandoned || m_updates.releasing(holder));
    return {holder, query.sequence, never ? Verdict::NotRun : Verdict::MayHaveRun};
}

void IdempotencyClaims::reply(const ClaimQueryReply &reply)
{
    for (const auto &[id, taking] : m_taking) {
        if (taking.step == Step::Asking && taking.askNumber == reply.sequence) {
            onVerdict(RequestId(id), reply.verdict);
            return;
        }
    }
}

void IdempotencyClaims::tick()
{
    m_expiry.tick();
    m_updates.tick();
    std::vector<RequestId> unanswered;
    for (const auto &[id, taking] : m_taking) {
        if (taking.step == Step::Asking && m_clock.now() - taking.askedAt >= m_askTimeout) {
            unanswered.push_back(id);
        }
    }
    for (const auto &it : unanswered) {
        onVerdict(it, Verdict::MayHaveRun);
    }
}

bool IdempotencyClaims::idle() const
{
    return m_taking.empty() && m_updates.empty();
}

std::size_t IdempotencyClaims::taking() const
{
    return m_taking.size();
}

void IdempotencyClaims::queue(const RequestId &id, std::uint64_t ifVersion)
{
    auto &taking = m_taking.at(id);
    if (taking.abandoned) {
        m_taking.erase(id);
        return;
    }
    if (++taking.tries > maxTries) {
        refuseStore(id, "the idempotency row changed too often", true);
        return;
    }
    taking.step = Step::Queued;
    taking.ifVersion = ifVersion;
    m_queue.push_back(id);
    flush();
}

void IdempotencyClaims::flush()
{
    if (m_writing || m_queue.empty()) {
        return;
    }
    std::vector<RowWrite> writes;
    std::vector<RequestId> ids;
    std::vector<RequestId> later;
    std::set<std::string> keys;
    for (const auto &id : m_queue) {
        auto &taking = m_taking.at(id);
        if (taking.abandoned) {
            m_taking.erase(id);
            continue;
        }
        // One write must not name a row twice: both requests would take it for theirs.
        if (writes.size() == maxBatch || !keys.insert(taking.rowKey).second) {
            later.push_back(id);
            continue;
        }
        taking.step = Step::Writing;
        const ClaimRow row {id, m_own.host, ClaimRowState::Held, *m_expiry.epoch()};
        writes.push_back({taking.rowKey, encode(row), taking.ifVersion});
        ids.push_back(id);
    }
    m_queue = later;
    if (writes.empty()) {
        return;
    }
    m_writing = true;
    m_table.write(writes, [this, ids, alive = Alive(m_alive)](const Result<void> &result) {
        if (!alive.expired()) {
            m_writing = false;
            onWritten(ids, result);
            flush();
        }
    });
}

void IdempotencyClaims::onWritten(const std::vector<RequestId> &ids, const Result<void> &result)
{
    for (const auto &it : ids) {
        if (result) {
            certain(it);
        } else if (result.error().code == ErrorCode::Unavailable) {
            refuseStore(it, result.error().message, m_taking.at(it).tries > 1);
        } else {
            readBack(it);
        }
    }
}

void IdempotencyClaims::readBack(const RequestId &id)
{
    auto &taking = m_taking.at(id);
    taking.step = Step::Reading;
    m_table.read(taking.rowKey, [this, id, alive = Alive(m_alive)](const Result<std::optional<Row>> &result) {
        if (!alive.expired()) {
            onRow(id, result);
        }
    });
}

void IdempotencyClaims::onRow(const RequestId &id, const Result<std::optional<Row>> &result)
{
    if (!result) {
        refuseStore(id, result.error().message, true);
        return;
    }
    if (!result.value()) {
        queue(id, 0);
        return;
    }
    const auto &row = *result.value();
    const auto claim = decodeClaimRow(row.value);
    if (!claim) {
        refuse(id,
               {RefusalReason::DuplicateKey, Verdict::MayHaveRun, std::nullopt, "row \"" + row.key + "\" is malformed"},
               false);
    } else if (claim->holder == id && claim->state == ClaimRowState::Held) {
        certain(id);
    } else {
        onOthersRow(id, row, *claim);
    }
}

void IdempotencyClaims::onOthersRow(const RequestId &id, const Row &row, const ClaimRow &claim)
{
    switch (claim.state) {
    case ClaimRowState::Released:
        queue(id, row.version);
        return;
    case ClaimRowState::Completed:
        refuse(id, duplicate(Verdict::Completed, claim, "which has completed"), false);
        return;
    case ClaimRowState::Held:
        ask(id, row, claim);
        return;
    }
}

void IdempotencyClaims::ask(const RequestId &id, const Row &row, const ClaimRow &claim)
{
    auto &taking = m_taking.at(id);
    taking.step = Step::Asking;
    taking.askedAt = m_clock.now();
    taking.askNumber = ++m_askNumber;
    taking.found = row;
    const ClaimQuery query {claim.holder, taking.askNumber};
    if (claim.holder.entry == m_own.incarnation) {
        onVerdict(id, answer(query).verdict);
    } else if (!m_listener.askEntry(query)) {
        onVerdict(id, Verdict::MayHaveRun);
    }
}

void IdempotencyClaims::onVerdict(const RequestId &id, Verdict verdict)
{
    const auto found = m_taking.at(id).found;
    const auto claim = *decodeClaimRow(found.value);
    if (verdict != Verdict::NotRun) {
        refuse(id, duplicate(Verdict::MayHaveRun, claim, "which may have run"), false);
        return;
    }
    m_events.record(Event::KeyTakenOver, Severity::Info, textOf(id) + " takes the row of " + textOf(claim.holder));
    queue(id, found.version);
}

void IdempotencyClaims::certain(const RequestId &id)
{
    const auto taking = m_taking.at(id);
    m_taking.erase(id);
    if (taking.abandoned) {
        m_updates.add(taking.rowKey, id, ClaimRowState::Released);
    } else {
        m_listener.rowCertain(id, taking.rowKey);
    }
}

void IdempotencyClaims::refuse(const RequestId &id, const Refusal &refusal, bool mayHold)
{
    const auto taking = m_taking.at(id);
    m_taking.erase(id);
    if (mayHold) {
        m_updates.add(taking.rowKey, id, ClaimRowState::Released);
    }
    if (!taking.abandoned) {
        m_listener.rowRefused(id, taking.rowKey, refusal);
    }
}

void IdempotencyClaims::refuseStore(const RequestId &id, const std::string &detail, bool mayHold)
{
    m_events.record(Event::KeyStoreUnavailable, Severity::Warning, textOf(id) + ": " + detail);
    refuse(id, {RefusalReason::StoreUnavailable, Verdict::NotRun, storeRetryAfter, detail}, mayHold);
}

} // namespace monsoonward
