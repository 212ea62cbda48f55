#pragma once

#include "entryrequests.h"
#include "idempotency.h"
#include "suspects.h"

namespace monsoonward
{

/// @brief Meets the preconditions for handing over a request: it must hold the row of its idempotency key, and a
/// suspect must wait for its turn and hold the row for its isolated run. A request without preconditions passes at
/// once.
class RequestPreconditions : private IdempotencyListener, private SuspectsOutput
{
public:
    RequestPreconditions(const EntryOptions &options,
                         const Clock &clock,
                         TableService &table,
                         const Membership &membership,
                         EntryRequests &requests,
                         EntryOutput &output,
                         EventLog &events);

    /// @return a refusal if requests with the same fingerprint were in progress at too many crashes
    std::optional<Refusal> refusal(const RequestSpec &spec) const;
    /// Starts to meet the preconditions of a request in state Keying, and reports the result to EntryRequests.
    void begin(const RequestSpec &spec);
    void onEnded(const RequestSpec &spec, Verdict verdict);
    void onCrashObserved(const RequestSpec &spec);
    void onNotice(const SuspectNotice &notice);
    void onEntryUp(const Peer &peer);
    void onQuery(const Peer &from, const ClaimQuery &query);
    void onReply(const ClaimQueryReply &reply);
    void tick();
    bool idle() const;
    std::size_t pendingRowCount() const;
    std::size_t suspectCount() const;

private:
    struct Preconditions
    {
        bool needsKeyRow = false;
        bool needsIsolation = false;
        bool isolationGranted = false; // its turn in the queue for isolated runs has come
        std::string pendingRow; // being acquired
        std::vector<std::string> acquiredRows;
    };

    void onRowAcquired(const RequestId &id, const std::string &rowKey) override;
    void onRowRefused(const RequestId &id, const std::string &rowKey, const Refusal &refusal) override;
    bool queryEntry(const ClaimQuery &query) override;
    bool hasRequest(const RequestId &id) const override;
    void broadcast(const SuspectNotice &notice) override;
    void sendTo(const Peer &to, const SuspectNotice &notice) override;
    /// Starts the next step towards the hand-over: acquiring the key's row, queueing for an isolated run, or passing.
    void advance(const RequestId &id);
    void beginIsolatedRun(const RequestId &id);
    /// Makes the waiting requests with the fingerprint queue for isolated runs.
    void isolateWaiting(Fingerprint fingerprint);
    /// Records the refusal as an event and returns it.
    Refusal suspectRefusal(const RequestSpec &spec) const;

    const Membership &m_membership;
    EntryRequests &m_requests;
    EntryOutput &m_output;
    EventLog &m_events;
    IdempotencyRows m_rows;
    Suspects m_suspects;
    std::unordered_map<RequestId, Preconditions> m_preconditions;
};

} // namespace monsoonward
