#pragma once

#include "engineclient.h"
#include "engineprobe.h"
#include "node.h"
#include "workerpool.h"

#include <monsoonward/decisions/decisions.h>

#include <mutex>
#include <unordered_map>

namespace monsoonward
{

/// @brief A target daemon: claims requests from the entries and runs them on the engines of its host.
class TargetNode : public Node, private TargetOutput
{
public:
    TargetNode(const Settings &settings, const Clock &clock, EngineClient &engines, EventLog &events, Metrics &metrics);
    ~TargetNode() override;

    /// Stops probing engines, cancels all runs and waits until they have ended.
    void stopRuns();

    void claimMessage(const Peer &from, const Claim &claim, Message message, std::size_t wireBytes) override;
    void claimClosed(const Peer &from, const Claim &claim) override;

private:
    void machineConfigure(const ConfigurationPtr &configuration) override;
    void machinePeerUp(const Peer &peer, HostRole role) override;
    void machinePeerDown(const Peer &peer) override;
    void machineMessage(const Peer &from, const Message &message) override;
    void machineTick() override;
    void machineBeginShutdown() override;
    bool machineIdle() const override;
    std::string machineDump() const override;

    void send(const Peer &to, const Message &message) override;
    void sendClaim(const Peer &to, const Claim &claim) override;
    void closeStream(const ClaimId &claim) override;
    void dispatch(const Claim &claim, const HandOver &request) override;
    void cancelRun(const ClaimId &claim) override;

    void run(const Claim &claim,
             const std::shared_ptr<EngineRun> &engineRun,
             ServiceKind kind,
             const std::shared_ptr<AnswerWriter> &writer);
    void finishWithoutRun(const Claim &claim, const std::shared_ptr<AnswerWriter> &writer, const std::string &detail);
    void onEngineState(const EngineState &state);
    /// Logs when an engine becomes unreachable or reachable again.
    void recordReachability(const EngineState &state);

    EngineClient &m_engines;
    ConfigurationPtr m_configuration; // control thread
    TargetMachine m_machine;
    WorkerPool m_workers;
    std::unordered_map<ClaimId, std::shared_ptr<EngineRun>> m_runs; // control thread
    std::unordered_map<EngineName, bool> m_engineUp; // control thread
    EngineProbe m_probe;
};

} // namespace monsoonward
