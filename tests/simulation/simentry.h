#pragma once

#include "simnetwork.h"
#include "simrecord.h"
#include "simtable.h"

#include <monsoonward/decisions/decisions.h>

namespace monsoonward
{

/// @brief One entry daemon process: its state machine, its callers and the answer streams of its requests.
class SimEntry : public SimProcess, private EntryOutput
{
public:
    SimEntry(EventQueue &queue,
             SimNetwork &network,
             SimStore &store,
             SimRecord &record,
             Random &random,
             const EntryOptions &options,
             Duration clockOffset,
             EventLog &events);

    /// Lets the store client post its callbacks to this process. Call it once a shared pointer owns the process.
    void start();
    void submit(const std::string &name);
    void hangUp(const std::string &name);

    void configure(const ConfigurationPtr &configuration) override;
    void peerUp(const Peer &peer, HostRole role) override;
    void peerDown(const Peer &peer) override;
    void message(const Peer &from, const Message &message) override;
    void streamLost(const Peer &from, const RequestId &id, const ClaimId &claim) override;
    void hostList(const std::vector<ListedHost> &hosts);
    void tick() override;
    bool idle() const override;
    std::string dump() const override;

protected:
    void beginShutdown() override;

private:
    /// An answer that is being received.
    struct Answer
    {
        AnswerValidator answerValidator;
        std::string body;
    };

    void send(const Peer &to, const Message &message) override;
    void handOver(const Peer &to, const RequestId &id, const ClaimId &claim) override;
    void rejectClaim(const Peer &to, const RequestId &id, const ClaimId &claim) override;
    void refuse(const RequestId &id, const Refusal &refusal) override;
    void complete(const RequestId &id, const AnswerEnd &end) override;
    void onAnswerChunk(const Peer &from, const AnswerChunk &chunk);
    void onAnswerEnd(const Peer &from, AnswerEnd end);
    void abortAnswer(const Peer &from, const RequestId &id, const ClaimId &claim);
    RequestSpec specOf(const SimCall &call) const;

    const EventQueue &m_events;
    SimNetwork &m_network;
    SimRecord &m_record;
    SimTable m_table;
    EntryMachine m_machine;
    std::map<ClaimId, Answer> m_answers;
    std::map<RequestId, ClaimId> m_claims;
};

} // namespace monsoonward
