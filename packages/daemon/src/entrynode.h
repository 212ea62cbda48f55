#pragma once

#include "node.h"
#include "openrequests.h"

namespace monsoonward
{

/// @brief An entry daemon. The callers' listeners pass requests to submit(); answers go to each request's AnswerSink.
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

    /// Parses and submits a request. Thread-safe.
    /// @return a reply if the request is refused without being submitted; otherwise the answer goes to @p sink
    std::optional<HttpReply> submit(const HttpRequest &request, const std::shared_ptr<AnswerSink> &sink);
    /// Cancels a request whose caller has disconnected. Thread-safe.
    void cancel(const RequestId &id);
    /// @return the number of requests in progress
    std::size_t openRequests() const;

    void claimMessage(const Peer &from, const Claim &claim, Message message, std::size_t wireBytes) override;
    void claimClosed(const Peer &from, const Claim &claim) override;

private:
    /// Immutable data for parsing requests on any thread; replaced when a new configuration is adopted.
    struct ConfigurationSnapshot
    {
        explicit ConfigurationSnapshot(const ConfigurationPtr &it)
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

    std::shared_ptr<const ConfigurationSnapshot> snapshot() const;
    /// Runs @p task. If it violates an invariant, only the request @p id is refused, with @p verdict.
    void runGuarded(const RequestId &id, Verdict verdict, const std::function<void()> &task);
    void onAnswerMessage(OpenRequest &request, const Claim &claim, const Message &message, std::size_t wireBytes);
    bool forwardAnswerMessage(OpenRequest &request, const Message &message, std::size_t wireBytes);
    Verdict validateAnswerEnd(OpenRequest &request, const AnswerEnd &end);
    void finishRequest(OpenRequest &request, Verdict verdict, std::optional<RefusalReason> reason);

    void fetchHostList();

    HostList &m_hosts;
    TimePoint m_hostsFetchedAt {};
    OpenRequests m_requests;
    mutable std::mutex m_snapshotMutex;
    std::shared_ptr<const ConfigurationSnapshot> m_snapshot;
    EntryMachine m_machine;
};

} // namespace monsoonward
