#include "membership.h"

#include <algorithm>

namespace monsoonward
{

namespace
{

constexpr Duration peerSilenceTimeout =
    std::chrono::seconds(3); // a peer that was not heard from for longer is considered unresponsive

} // namespace

Membership::Membership(const ControlOptions &options, const Clock &clock)
    : m_options(options)
    , m_clock(clock)
{
}

void Membership::peerUp(const Peer &peer, HostRole role)
{
    const auto now = m_clock.now();
    m_peers[peer.host] = {peer, role, 0, now};
    if (!m_firstConnectedAt) {
        m_firstConnectedAt = now;
    }
}

void Membership::peerDown(const Peer &peer)
{
    const auto it = m_peers.find(peer.host);
    if (it != m_peers.end() && it->second.peer == peer) {
        m_peers.erase(it);
    }
}

void Membership::peerHeard(const Peer &peer, Revision revision)
{
    const auto it = m_peers.find(peer.host);
    if (it == m_peers.end() || !(it->second.peer == peer)) {
        return;
    }
    it->second.lastHeard = m_clock.now();
    it->second.revision = std::max(it->second.revision, revision);
}

void Membership::setStatus(const TargetStatus &status)
{
    m_targets[status.target] = status;
}

bool Membership::isSilent(const PeerView &view) const
{
    return m_clock.now() - view.lastHeard > peerSilenceTimeout;
}

const PeerView *Membership::findAnswering(const HostName &host) const
{
    const auto it = m_peers.find(host);
    return it == m_peers.end() || isSilent(it->second) ? nullptr : &it->second;
}

const std::map<HostName, PeerView> &Membership::peers() const
{
    return m_peers;
}

const TargetStatus *Membership::target(const TargetName &target) const
{
    const auto it = m_targets.find(target);
    return it == m_targets.end() ? nullptr : &it->second;
}

bool Membership::isLocal(const Peer &peer, const ConfigurationPtr &configuration) const
{
    if (!configuration) {
        return true;
    }
    const auto region = regionOf(*configuration, peer.host);
    return region.empty() || region == m_options.region;
}

const PeerView *Membership::leaderOf(const RegionName &region, const Configuration &configuration) const
{
    for (const auto &[host, view] : m_peers) {
        const bool isEntry = view.role == HostRole::Entry;
        if (isEntry && !isSilent(view) && regionOf(configuration, host) == region) {
            return &view;
        }
    }
    return nullptr;
}

bool Membership::isLeader(const ConfigurationPtr &configuration) const
{
    if (!configuration) {
        return true;
    }
    const auto *other = leaderOf(m_options.region, *configuration);
    if (other == nullptr) {
        return true;
    }
    return m_options.role == HostRole::Entry && m_options.own.host < other->peer.host;
}

std::optional<TimePoint> Membership::firstConnectedAt() const
{
    return m_firstConnectedAt;
}

} // namespace monsoonward
