#pragma once

#include "node.h"
#include "openrequests.h"

namespace monsoonward
{

/// @brief An entry: requests come from the callers' servers by submit(), answers go to their sinks.
class EntryNode : public Node, private EntryOutput
{
public:
    EntryNode(const Settings &settings,
              const Clock &clock,
              Random &random,
              TableService &table,
              HostList &hosts,
              EventLog &events,
              Metrics &metrics);
    ~EntryNode() override;

    /// Reads and submits a request. Any thread.
    /// @return the reply when the request is refused before it is submitted; else the answer comes to @p sink
    std::optional<HttpReply> submit(const HttpRequest &request, const std::shared_ptr<AnswerSink> &sink);
    /// The caller has gone. Any thread.
    void cancel(const RequestId &id);
    /// @return requests in progress
    std::size_t openRequests() const;

    void claimMessage(const Peer &from, const Claim &claim, Message message, std::size_t wireBytes) override;
    void claimClosed(const Peer &from, const Claim &claim) override;

private:
    /// What parsing a request needs; replaced with each configuration.
    struct Snapshot
    {
        explicit Snapshot(const ConfigurationPtr &it)
            : configuration(it)
            , keys(it)
        {
        }
        ConfigurationPtr configuration;
        CustomerKeys keys;
    };

    void machineConfigure(const ConfigurationPtr &configuration) override;
    void machinePeerUp(const Peer &peer, HostRole role) override;
    void machinePeerDown(const Peer &peer) override;
    void machineMessage(const Peer &from, const Message &message) override;
    void machineTick() override;
    void machineBeginShutdown() override;
    bool machineIdle() const override;
    std::string machineDump() const override;

    void send(const Peer &to, const Message &message) override;
    void handOver(const Peer &to, const RequestId &id, const ClaimId &claim) override;
    void rejectClaim(const Peer &to, const RequestId &id, const ClaimId &claim) override;
    void refuse(const RequestId &id, const Refusal &refusal) override;
    void complete(const RequestId &id, const AnswerEnd &end) override;

    std::shared_ptr<const Snapshot> snapshot() const;
    /// Runs @p task; a violated invariant gives up the one request.
    void guarded(const RequestId &id, Verdict verdict, const std::function<void()> &task);
    void answerMessage(OpenRequest &request, const Claim &claim, const Message &message, std::size_t wireBytes);
    bool answerPiece(OpenRequest &request, const Message &message, std::size_t wireBytes);
    Verdict answerVerdict(OpenRequest &request, const AnswerEnd &end);
    void recordEnd(OpenRequest &request, Verdict verdict, std::optional<RefusalReason> reason);

    void fetchHostList();

    HostList &m_hosts;
    TimePoint m_hostsFetchedAt {};
    OpenRequests m_requests;
    mutable std::mutex m_snapshotMutex;
    std::shared_ptr<const Snapshot> m_snapshot;
    EntryMachine m_machine;
};

} // namespace monsoonward
