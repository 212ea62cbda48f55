#pragma once

#include "controlloop.h"
#include "controlpart.h"

#include "monsoonward/daemon/daemon.h"

#include <monsoonward/transport/transport.h>

#include <atomic>
#include <memory>

namespace monsoonward
{

/// @brief The common part of entry and target daemons: control loop, peer connections and current configuration.
///
/// Derived classes add the state machine of their role. The machine...() methods run on the control thread.
class Node : public PeerHandler, public ControlOutput
{
public:
    Node(const Settings &settings, const Clock &clock, EventLog &events, Metrics &metrics);
    ~Node() override;
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    /// Starts the control loop, which calls @p control from then on.
    /// @param control may be null; configurations then come only from direct calls of adopt()
    void startControl(ControlPart *control);
    Result<void> startTransport();
    void stopTransport();
    void stopControl();

    ControlLoop &loop();
    const Peer &own() const;
    /// Starts refusing new requests; those in progress continue. Thread-safe.
    void beginShutdown();
    /// Waits for the control thread, so must not be called on it.
    /// @return whether no request is in progress
    bool idle();
    /// Waits for the control thread, so must not be called on it.
    /// @return the state as JSON
    std::string dump();
    /// Passes an operator's request to the control part and waits up to 10 s for the reply. Must not be called on the
    /// control thread.
    OperatorReply handleOperatorRequest(const OperatorRequest &request);

    Heartbeat heartbeat() override;
    void peerUp(const Peer &peer, HostRole role) override;
    void peerDown(const Peer &peer) override;
    void sessionMessage(const Peer &from, Message message) override;

    void send(const Peer &to, const Message &message) override;
    void adopt(const ConfigurationPtr &configuration) override;

protected:
    virtual void machineConfigure(const ConfigurationPtr &configuration) = 0;
    virtual void machinePeerUp(const Peer &peer, HostRole role) = 0;
    virtual void machinePeerDown(const Peer &peer) = 0;
    virtual void machineMessage(const Peer &from, const Message &message) = 0;
    virtual void machineTick() = 0;
    virtual void machineBeginShutdown() = 0;
    virtual bool machineIdle() const = 0;
    virtual std::string machineDump() const = 0;

    PeerTransport &transport();
    const Settings &settings() const;
    const Clock &clock() const;
    EventLog &events();
    Metrics &metrics();
    bool stopping() const;

private:
    void tick();
    void updatePeerAddresses();
    void updateTrafficMetrics();
    void updateStatusMetrics(const TargetStatus &status);

    Settings m_settings;
    const Clock &m_clock;
    EventLog &m_events;
    Metrics &m_metrics;
    Peer m_own;
    ControlLoop m_loop;
    std::unique_ptr<PeerTransport> m_transport;
    ControlPart *m_control = nullptr;
    ConfigurationPtr m_configuration;
    std::atomic<Revision> m_revision {0};
    std::atomic<bool> m_stopping {false};
    std::atomic<std::uint64_t> m_heartbeatNumber {0};
    TimePoint m_lastHeartbeat {};
    std::uint64_t m_countedSent = 0;
    std::uint64_t m_countedReceived = 0;
};

} // namespace monsoonward
