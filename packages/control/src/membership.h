#pragma once

#include "monsoonward/control/controlnode.h"

#include <map>
#include <optional>

namespace monsoonward
{

/// @brief A daemon that this one is connected to.
struct PeerView
{
    Peer peer;
    HostRole role = HostRole::Target;
    Revision revision = 0; ///< the highest that it is known to have in force
    TimePoint lastHeard;
    MONSOONWARD_FIELDS(peer, role, revision, lastHeard)
};

/// @brief The peers and what they said of themselves.
class Membership
{
public:
    Membership(const ControlOptions &options, const Clock &clock);

    void peerUp(const Peer &peer, HostRole role);
    void peerDown(const Peer &peer);
    void peerHeard(const Peer &peer, Revision revision);
    void setStatus(const TargetStatus &status);

    /// @return the host's daemon when it is connected and not silent, else null
    const PeerView *findAnswering(const HostName &host) const;
    const std::map<HostName, PeerView> &peers() const;
    /// @return the last heartbeat of the target, or null
    const TargetStatus *target(const TargetName &target) const;
    /// @return whether this daemon reads the store and the other region on behalf of its region: the answering entry
    /// with the lowest host name, or any daemon that knows no entry of its region
    bool isLeader(const ConfigurationPtr &configuration) const;
    /// @return the answering entry with the lowest host name in @p region
    const PeerView *leaderOf(const RegionName &region, const Configuration &configuration) const;
    /// @return whether the peer is in this daemon's region, as far as known
    bool isLocal(const Peer &peer, const ConfigurationPtr &configuration) const;
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
