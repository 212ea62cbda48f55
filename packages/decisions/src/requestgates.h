#pragma once

#include "entryrequests.h"
#include "idempotency.h"
#include "suspects.h"

namespace monsoonward
{

/// @brief What must be certain before a request may be handed over: its idempotency row, and for a suspect its turn and
/// the row for its isolated run. A request that needs nothing passes at once.
class RequestGates : private IdempotencyListener, private SuspectsOutput
{
public:
    RequestGates(const EntryOptions &options,
                 const Clock &clock,
                 TableService &table,
                 const Membership &membership,
                 EntryRequests &requests,
                 EntryOutput &output,
                 EventLog &events);

    /// @return the refusal of a request that was in progress at too many crashes
    std::optional<Refusal> refusal(const RequestSpec &spec) const;
    /// Takes on a request that is in state Keying and lets it pass when all that it needs is certain.
    void enter(const RequestSpec &spec);
    void ended(const RequestSpec &spec, Verdict verdict);
    void crashSeen(const RequestSpec &spec);
    void notice(const SuspectNotice &notice);
    void entryUp(const Peer &peer);
    void query(const Peer &from, const ClaimQuery &query);
    void reply(const ClaimQueryReply &reply);
    void tick();
    bool idle() const;
    std::size_t rowsBeingTaken() const;
    std::size_t suspects() const;

private:
    struct Gate
    {
        bool needsKey = false;
        bool needsTrial = false;
        bool isolated = false; // its turn for an isolated run has come
        std::string pendingRow;
        std::vector<std::string> rows; // certain
    };

    void rowCertain(const RequestId &id, const std::string &rowKey) override;
    void rowRefused(const RequestId &id, const std::string &rowKey, const Refusal &refusal) override;
    bool askEntry(const ClaimQuery &query) override;
    bool knows(const RequestId &id) const override;
    void tellEntries(const SuspectNotice &notice) override;
    void tellEntry(const Peer &to, const SuspectNotice &notice) override;
    void advance(const RequestId &id);
    void beginTrial(const RequestId &id);
    void isolateWaiting(Fingerprint fingerprint);
    Refusal suspectRefusal(const RequestSpec &spec) const;

    const Membership &m_membership;
    EntryRequests &m_requests;
    EntryOutput &m_output;
    EventLog &m_events;
    IdempotencyClaims m_claims;
    Suspects m_suspects;
    std::unordered_map<RequestId, Gate> m_gates;
};

} // namespace monsoonward
