#pragma once

#include <monsoonward/stores/stores.h>

#include <map>
#include <optional>
#include <set>

namespace monsoonward
{

/// @brief Hears of changes in an entry's view of the fleet.
class MembershipListener
{
public:
    virtual ~MembershipListener() = default;
    /// The target may get new work.
    virtual void targetUsable(const TargetStatus &status) = 0;
    /// The target gets no new work until targetUsable().
    virtual void targetUnusable(const TargetName &target) = 0;
    /// The incarnation is connected.
    virtual void peerBack(const Peer &peer) = 0;
    /// The incarnation has ended: another one runs on its host.
    virtual void peerReplaced(const Peer &old) = 0;
};

/// @brief An entry's view of the daemons: connections, heartbeats, the targets' own word, the host list and the
/// configuration. Any one of them takes a target out of choice; all must agree to keep it in.
class Membership
{
public:
    Membership(Duration heartbeatTimeout, const Clock &clock, MembershipListener &listener, EventLog &events);

    void configure(const ConfigurationPtr &configuration);
    void updateHostList(const std::vector<ListedHost> &hosts);
    void peerUp(const Peer &peer, HostRole role);
    /// @return whether the peer was connected
    bool peerDown(const Peer &peer);
    /// Any message from the peer is a sign of life.
    void heard(const Peer &from);
    void heartbeat(const Peer &from, const Heartbeat &heartbeat);
    void targetStatus(const Peer &from, const TargetStatus &status);
    void tick();

    bool connected(const Peer &peer) const;
    /// @return the daemon of a target that may get new work
    std::optional<Peer> daemonOf(const TargetName &target) const;
    /// @return whether a claim for the target may be answered with a request
    bool mayHandOver(const TargetName &target, const Peer &from) const;
    std::vector<Peer> entries() const;
    std::size_t connectedCount() const;
    std::size_t usableTargets() const;
    bool inDoubt() const;
    /// @return whether several daemons were lost at about the same time, so that the network is the likely cause
    bool manyLost() const;

private:
    struct PeerView
    {
        HostRole role = HostRole::Target;
        TimePoint heardAt {};
        bool leaving = false;
        bool silent = false;
    };
    struct TargetView
    {
        Peer daemon;
        TargetStatus status;
        bool usable = false;
    };
    struct FlapView
    {
        std::vector<TimePoint> losses; // within the window, oldest first
        TimePoint heldOffUntil {};
    };

    void lost(const HostName &host);
    bool drains(const TargetName &target) const;
    bool heldOff(const HostName &host) const;
    bool shouldUse(const TargetView &view) const;
    void review(TargetView &view);
    void reviewAll();
    void judgeSilence();

    Duration m_heartbeatTimeout;
    const Clock &m_clock;
    MembershipListener &m_listener;
    EventLog &m_events;
    ConfigurationPtr m_configuration;
    std::map<Peer, PeerView> m_peers;
    std::map<HostName, Incarnation> m_incarnations; // last one connected
    std::map<TargetName, TargetView> m_targets;
    std::map<HostName, FlapView> m_flaps;
    std::set<HostName> m_listedLeaving;
    TimePoint m_lastTick {};
    std::map<HostName, TimePoint> m_lostAt;
    bool m_inDoubt = false;
};

} // namespace monsoonward
