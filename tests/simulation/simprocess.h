#pragma once

#include "eventqueue.h"

#include <memory>
#include <vector>

namespace monsoonward
{

/// @brief A host's monotonic clock: virtual time plus an offset that differs between hosts.
class HostClock : public Clock
{
public:
    HostClock(const EventQueue &queue, Duration offset);
    TimePoint now() const override;

private:
    const EventQueue &m_queue;
    Duration m_offset;
};

/// @brief One daemon process. Functions posted to a paused process run when it is resumed; those posted to a dead
/// process are dropped.
class SimProcess : public std::enable_shared_from_this<SimProcess>
{
public:
    SimProcess(EventQueue &queue, const Peer &own, HostRole role, Duration clockOffset);
    virtual ~SimProcess() = default;
    SimProcess(const SimProcess &) = delete;
    SimProcess &operator=(const SimProcess &) = delete;

    const Peer &own() const;
    HostRole role() const;
    bool alive() const;
    bool paused() const;
    bool stopping() const;

    /// Runs @p function in this process after @p delay.
    void post(Duration delay, EventQueue::Function function);
    void pause();
    void resume();
    void kill();
    /// Begins a graceful shutdown.
    void stop();

    /// Configures the process if @p configuration has a higher revision than its current one, as real daemons do.
    void configureIfNewer(const ConfigurationPtr &configuration);

    virtual void configure(const ConfigurationPtr &configuration) = 0;
    virtual void peerUp(const Peer &peer, HostRole role) = 0;
    virtual void peerDown(const Peer &peer) = 0;
    virtual void message(const Peer &from, const Message &message) = 0;
    virtual void streamLost(const Peer &from, const RequestId &id, const ClaimId &claim) = 0;
    virtual void tick() = 0;
    /// @return whether no work is left, so that a graceful shutdown can finish
    virtual bool idle() const = 0;
    /// @return the state of the process's state machine as JSON text
    virtual std::string dump() const = 0;

protected:
    virtual void beginShutdown() = 0;
    const Clock &clock() const;

private:
    void run(const EventQueue::Function &function);

    EventQueue &m_queue;
    HostClock m_clock;
    Peer m_own;
    HostRole m_role;
    bool m_alive = true;
    bool m_paused = false;
    bool m_stopping = false;
    Revision m_revision = 0;
    std::vector<EventQueue::Function> m_inbox;
};

} // namespace monsoonward
