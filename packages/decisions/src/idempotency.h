#pragma once

#include "claimexpiry.h"
#include "rowupdates.h"

#include <monsoonward/policy/policy.h>

#include <unordered_map>

namespace monsoonward
{

/// @brief Receives the results of IdempotencyRows and answers its questions about the entry.
class IdempotencyListener
{
public:
    virtual ~IdempotencyListener() = default;
    /// The request holds the row now. It may be handed over unless it needs other rows.
    virtual void onRowAcquired(const RequestId &id, const std::string &rowKey) = 0;
    /// The request can't get the row. It has not been handed over.
    virtual void onRowRefused(const RequestId &id, const std::string &rowKey, const Refusal &refusal) = 0;
    /// Sends the query to the entry of the request that it asks about. @return false if that entry isn't connected
    virtual bool queryEntry(const ClaimQuery &query) = 0;
    /// @return whether the request is in progress at this entry
    virtual bool hasRequest(const RequestId &id) const = 0;
};

/// @brief Acquires table rows for requests that may run only once. Inserts a row if it is absent, many rows in one
/// write. If a write's outcome isn't known, reads the row back. If another request holds the row, asks that request's
/// entry and takes the row over only if that request certainly did not run.
class IdempotencyRows
{
public:
    IdempotencyRows(const Peer &own,
                    Duration queryTimeout,
                    const Clock &clock,
                    TableService &table,
                    IdempotencyListener &listener,
                    EventLog &events);

    /// Starts to acquire the row. The listener's onRowAcquired() or onRowRefused() follows unless the request ends
    /// first.
    void acquire(const RequestId &id, const std::string &rowKey);
    /// The request has ended: releases its row, marks it as completed, or leaves it held if the request may have run.
    void onEnded(const RequestId &id, const std::string &rowKey, Verdict verdict);
    /// Answers an entry that found a row held by a request of this entry.
    /// @return verdict NotRun only if the request has not run and never will
    ClaimQueryReply answer(const ClaimQuery &query) const;
    /// Handles another entry's reply to queryEntry().
    void onReply(const ClaimQueryReply &reply);
    void tick();
    /// @return whether no row is being acquired or updated
    bool idle() const;
    /// @return the number of rows being acquired
    std::size_t pendingCount() const;

private:
    using Alive = std::weak_ptr<int>;

    enum class Step { Queued, Writing, Reading, Querying };

    struct Acquisition
    {
        std::string rowKey;
        Step step = Step::Queued;
        std::uint64_t expectedVersion = 0; // version that the row must have for the write to succeed; 0 inserts it
        int attempts = 0;
        bool requestEnded = false; // the row is released as soon as the write's outcome is known
        std::uint64_t querySequence = 0;
        TimePoint queriedAt {};
        Row heldRow; // the row whose holder is being queried
    };

    void enqueueWrite(const RequestId &id, std::uint64_t expectedVersion);
    void writeBatch();
    void onWritten(const std::vector<RequestId> &ids, const Result<void> &result);
    void readBack(const RequestId &id);
    void onRow(const RequestId &id, const Result<std::optional<Row>> &result);
    void onRowOfOther(const RequestId &id, const Row &row, const IdempotencyRow &decoded);
    void queryHolder(const RequestId &id, const Row &row, const IdempotencyRow &decoded);
    void onVerdict(const RequestId &id, Verdict verdict);
    void onAcquired(const RequestId &id);
    /// @param mayHaveWritten whether a write for the request may have succeeded, so that the row must be released
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
    std::uint64_t m_lastQuerySequence = 0;
    // Callbacks hold a weak reference, which expires with this object.
    std::shared_ptr<int> m_alive = std::make_shared<int>();
};

} // namespace monsoonward
