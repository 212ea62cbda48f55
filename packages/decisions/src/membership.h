#pragma once

#include <monsoonward/stores/stores.h>

#include <map>
#include <optional>
#include <set>

namespace monsoonward
{

/// @brief Is notified of changes in an entry's view of the fleet.
class MembershipListener
{
public:
    virtual ~MembershipListener() = default;
    /// The target may get new work. Repeated for each status that a usable target sends.
    virtual void onTargetUsable(const TargetStatus &status) = 0;
    /// The target must not get new work until onTargetUsable() is called again.
    virtual void onTargetUnusable(const TargetName &target) = 0;
    /// This incarnation is connected, for the first time or again.
    virtual void onPeerConnected(const Peer &peer) = 0;
    /// This incarnation has ended, because another one runs on its host.
    virtual void onPeerReplaced(const Peer &old) = 0;
};

/// @brief An entry's view of the fleet's daemons. A target is usable only if all sources agree: its connection and
/// heartbeats, the status that it sends, the host list and the configuration.
class Membership
{
public:
    Membership(Duration heartbeatTimeout, const Clock &clock, MembershipListener &listener, EventLog &events);

    void configure(const ConfigurationPtr &configuration);
    void updateHostList(const std::vector<ListedHost> &hosts);
    void onPeerUp(const Peer &peer, HostRole role);
    /// @return whether the peer was connected before
    bool onPeerDown(const Peer &peer);
    /// Must be called for every message, because each one proves that the peer is alive.
    void onMessage(const Peer &from);
    void onHeartbeat(const Peer &from, const Heartbeat &heartbeat);
    void onTargetStatus(const Peer &from, const TargetStatus &status);
    void tick();

    bool isConnected(const Peer &peer) const;
    /// @return the target's daemon, or nothing if the target isn't usable
    std::optional<Peer> daemonOf(const TargetName &target) const;
    /// @return whether a request may be handed over to a claim of the target by @p from
    bool mayHandOver(const TargetName &target, const Peer &from) const;
    std::vector<Peer> connectedEntries() const;
    std::size_t connectedCount() const;
    std::size_t usableTargets() const;
    /// @return whether more than half of the target daemons are silent, so that this entry's own network is the likely
    /// cause. No further daemon is marked as silent then.
    bool inDoubt() const;
    /// @return whether several daemons were lost at about the same time, so that the network is the likely cause
    bool manyRecentLosses() const;

private:
    struct PeerView
    {
        HostRole role = HostRole::Target;
        TimePoint lastMessageAt {};
        bool leaving = false;
        bool silent = false;
    };
    struct TargetView
    {
        Peer daemon;
        TargetStatus status;
        bool usable = false;
    };
    struct LossHistory
    {
        std::vector<TimePoint> losses; // within lossHistoryWindow, oldest first
        TimePoint heldOffUntil {};
    };

    /// Records that the host's daemon was lost. Holds the host off if that happens often.
    void recordLoss(const HostName &host);
    bool isDraining(const TargetName &target) const;
    /// @return whether the host gets no new work because its daemon was lost repeatedly
    bool isHeldOff(const HostName &host) const;
    bool isUsable(const TargetView &view) const;
    /// Recomputes whether the target is usable. Reports only that it became unusable; a usable one is reported with its
    /// next status.
    void updateUsable(TargetView &view);
    void updateAllTargets();
    void detectSilentDaemons();

    Duration m_heartbeatTimeout;
    const Clock &m_clock;
    MembershipListener &m_listener;
    EventLog &m_events;
    ConfigurationPtr m_configuration;
    std::map<Peer, PeerView> m_peers;
    std::map<HostName, Incarnation> m_lastIncarnations; // last incarnation that was connected
    std::map<TargetName, TargetView> m_targets;
    std::map<HostName, LossHistory> m_lossHistories;
    std::set<HostName> m_leavingHosts;
    TimePoint m_lastTick {};
    std::map<HostName, TimePoint> m_lastLossAt;
    bool m_inDoubt = false;
};

} // namespace monsoonward
