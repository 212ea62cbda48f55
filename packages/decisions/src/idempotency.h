#pragma once

#include "claimexpiry.h"
#include "rowupdates.h"

#include <monsoonward/policy/policy.h>

#include <unordered_map>

namespace monsoonward
{

/// @brief What the idempotency claims ask of the entry.
class IdempotencyListener
{
public:
    virtual ~IdempotencyListener() = default;
    /// The row is the request's: it may be handed over as far as this row is concerned.
    virtual void rowAcquired(const RequestId &id, const std::string &rowKey) = 0;
    /// The row is not the request's. The request has not been handed over.
    virtual void rowRefused(const RequestId &id, const std::string &rowKey, const Refusal &refusal) = 0;
    /// Sends the query to the entry whose incarnation the query names. @return false when it isn't connected
    virtual bool queryEntry(const ClaimQuery &query) = 0;
    /// @return whether the entry still has the request
    virtual bool hasRequest(const RequestId &id) const = 0;
};

/// @brief Takes rows of the table for requests that may run once only: insert if absent, many in one write, lost
/// answers settled by reading back, rows of surely unrun requests taken over.
class IdempotencyRows
{
public:
    IdempotencyRows(const Peer &own,
                    Duration queryTimeout,
                    const Clock &clock,
                    TableService &table,
                    IdempotencyListener &listener,
                    EventLog &events);

    /// Takes the row for the request; answered by rowCertain() or rowRefused(), unless the request ends before.
    void acquire(const RequestId &id, const std::string &rowKey);
    /// The request has its final answer; its row is released, completed or left as it is.
    void ended(const RequestId &id, const std::string &rowKey, Verdict verdict);
    /// @return what became of a request of this entry, for an entry that found its row
    ClaimQueryReply answer(const ClaimQuery &query) const;
    void onReply(const ClaimQueryReply &reply);
    void tick();
    /// @return whether nothing waits for the table
    bool idle() const;
    std::size_t pendingCount() const;

private:
    using Alive = std::weak_ptr<int>;

    enum class Step { Queued, Writing, Reading, Querying };

    struct Acquisition
    {
        std::string rowKey;
        Step step = Step::Queued;
        std::uint64_t ifVersion = 0; // 0: insert
        int attempts = 0;
        bool requestEnded = false; // the request has ended
        std::uint64_t queryNumber = 0;
        TimePoint queriedAt {};
        Row heldRow; // the row whose holder is asked
    };

    void enqueueWrite(const RequestId &id, std::uint64_t ifVersion);
    void writeBatch();
    void onWritten(const std::vector<RequestId> &ids, const Result<void> &result);
    void readBack(const RequestId &id);
    void onRow(const RequestId &id, const Result<std::optional<Row>> &result);
    void onRowOfOther(const RequestId &id, const Row &row, const IdempotencyRow &decoded);
    void queryHolder(const RequestId &id, const Row &row, const IdempotencyRow &decoded);
    void onVerdict(const RequestId &id, Verdict verdict);
    void onAcquired(const RequestId &id);
    void refuse(const RequestId &id, const Refusal &refusal, bool mayHaveWritten);
    void refuseStoreUnavailable(const RequestId &id, const std::string &detail, bool mayHaveWritten);

    Peer m_own;
    Duration m_queryTimeout;
    const Clock &m_clock;
    TableService &m_table;
    IdempotencyListener &m_listener;
    EventLog &m_events;
    RowUpdates m_rowUpdates;
    IdempotencyRowExpiry m_rowExpiry;
    std::unordered_map<RequestId, Acquisition> m_acquisitions;
    std::vector<RequestId> m_writeQueue;
    bool m_writing = false;
    std::uint64_t m_queryNumber = 0;
    std::shared_ptr<int> m_alive = std::make_shared<int>();
};

} // namespace monsoonward
