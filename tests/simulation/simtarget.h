#pragma once

#include "simengine.h"
#include "simnetwork.h"

#include <monsoonward/decisions/decisions.h>

namespace monsoonward
{

/// @brief One target daemon process: its state machine, its engines and the streams of its claims.
class SimTarget : public SimProcess, public SimEngineListener, private TargetOutput
{
public:
    using EnginePtr = std::shared_ptr<SimEngine>;

    SimTarget(EventQueue &queue,
              SimNetwork &network,
              SimRecord &record,
              const TargetOptions &options,
              Duration clockOffset,
              const std::vector<EnginePtr> &engines,
              EventLog &events);

    void configure(const ConfigurationPtr &configuration) override;
    void peerUp(const Peer &peer, HostRole role) override;
    void peerDown(const Peer &peer) override;
    void message(const Peer &from, const Message &message) override;
    void streamLost(const Peer &from, const RequestId &id, const ClaimId &claim) override;
    void tick() override;
    bool idle() const override;
    std::string dump() const override;

    void firstToken(const ClaimId &claim) override;
    void finished(const ClaimId &claim, bool completed) override;
    void inheritedRuns(const EngineName &engine, std::uint32_t running) override;
    void engineUp(const EngineName &engine, bool up) override;

protected:
    void beginShutdown() override;

private:
    /// The stream of a claim to the entry that owns the request.
    struct Stream
    {
        Peer entry;
        Claim claim;
        bool open = true;
    };

    void send(const Peer &to, const Message &message) override;
    void sendClaim(const Peer &to, const Claim &claim) override;
    void closeStream(const ClaimId &claim) override;
    void dispatch(const Claim &claim, const HandOver &request) override;
    void cancelRun(const ClaimId &claim) override;
    SimEngine &engineOf(const EngineName &name) const;
    void onFinished(const ClaimId &claim, bool completed);

    SimNetwork &m_network;
    SimRecord &m_record;
    std::vector<EnginePtr> m_engines;
    TargetMachine m_machine;
    std::map<ClaimId, Stream> m_streams;
};

} // namespace monsoonward
