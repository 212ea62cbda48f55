#pragma once

#include "entryrequests.h"
#include "idempotency.h"
#include "suspects.h"

namespace monsoonward
{

/// @brief What must be certain before a request may be handed over: its idempotency row, and for a suspect its turn and
/// the row for its isolated run. A request that needs nothing passes at once.
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

    /// @return the refusal of a request that was in progress at too many crashes
    std::optional<Refusal> refusal(const RequestSpec &spec) const;
    /// Takes on a request that is in state Keying and lets it pass when all that it needs is certain.
    void begin(const RequestSpec &spec);
    void ended(const RequestSpec &spec, Verdict verdict);
    void crashObserved(const RequestSpec &spec);
    void onNotice(const SuspectNotice &notice);
    void entryUp(const Peer &peer);
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
        bool isolationGranted = false; // its turn for an isolated run has come
        std::string pendingRow;
        std::vector<std::string> acquiredRows; // certain
    };

    void rowAcquired(const RequestId &id, const std::string &rowKey) override;
    void rowRefused(const RequestId &id, const std::string &rowKey, const Refusal &refusal) override;
    bool queryEntry(const ClaimQuery &query) override;
    bool hasRequest(const RequestId &id) const override;
    void broadcast(const SuspectNotice &notice) override;
    void sendTo(const Peer &to, const SuspectNotice &notice) override;
    void advance(const RequestId &id);
    void beginIsolatedRun(const RequestId &id);
    void isolateWaiting(Fingerprint fingerprint);
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
