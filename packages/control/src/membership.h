#pragma once

#include "monsoonward/control/controlnode.h"

#include <map>
#include <optional>

namespace monsoonward
{

/// @brief State of a connected peer.
struct PeerView
{
    Peer peer;
    HostRole role = HostRole::Target;
    Revision revision = 0; ///< highest revision that the peer is known to have
    TimePoint lastHeard;
    MONSOONWARD_FIELDS(peer, role, revision, lastHeard)
};

/// @brief Tracks connected peers, their revisions and the status of targets.
class Membership
{
public:
    Membership(const ControlOptions &options, const Clock &clock);

    void peerUp(const Peer &peer, HostRole role);
    void peerDown(const Peer &peer);
    void peerHeard(const Peer &peer, Revision revision);
    void setStatus(const TargetStatus &status);

    /// @return the peer on @p host if it is connected and was heard from recently, else null
    const PeerView *findAnswering(const HostName &host) const;
    const std::map<HostName, PeerView> &peers() const;
    /// @return the last status received from the target, or null
    const TargetStatus *target(const TargetName &target) const;
    /// @return whether this daemon polls the store and other regions on behalf of its region. The leader is the
    /// responsive entry host with the lowest name; a daemon that sees no entry host in its region acts as leader too.
    bool isLeader(const ConfigurationPtr &configuration) const;
    /// @return the responsive entry host with the lowest name among the peers in @p region, or null
    const PeerView *leaderOf(const RegionName &region, const Configuration &configuration) const;
    /// @return whether the peer is in the region of this daemon; also true if its region is unknown
    bool isLocal(const Peer &peer, const ConfigurationPtr &configuration) const;
    /// @return when the first peer connected, if any has
    std::optional<TimePoint> firstConnectedAt() const;

private:
    bool isSilent(const PeerView &view) const;

    const ControlOptions &m_options;
    const Clock &m_clock;
    std::map<HostName, PeerView> m_peers;
    std::map<TargetName, TargetStatus> m_targets;
    std::optional<TimePoint> m_firstConnectedAt;
};

} // namespace monsoonward
