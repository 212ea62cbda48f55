#include "membership.h"

#include <algorithm>

namespace monsoonward
{

namespace
{

constexpr Duration lossHistoryWindow = std::chrono::seconds(60);
constexpr std::size_t toleratedLosses = 2; // losses within lossHistoryWindow before a host is held off
constexpr Duration minHoldOff = std::chrono::seconds(2);
constexpr Duration maxHoldOff = std::chrono::seconds(30);
constexpr Duration maxTickGap =
    std::chrono::seconds(1); // a longer gap between ticks means that this process was paused
constexpr Duration recentLossWindow = std::chrono::seconds(3);
constexpr std::size_t manyLossesThreshold = 3; // daemons lost within recentLossWindow
constexpr std::size_t minDaemonsToDoubt = 4; // with fewer target daemons, silent ones always become unusable

} // namespace

Membership::Membership(Duration heartbeatTimeout, const Clock &clock, MembershipListener &listener, EventLog &events)
    : m_heartbeatTimeout(heartbeatTimeout)
    , m_clock(clock)
    , m_listener(listener)
    , m_events(events)
    , m_lastTick(clock.now())
{
}

void Membership::configure(const ConfigurationPtr &configuration)
{
    m_configuration = configuration;
    updateAllTargets();
}

void Membership::updateHostList(const std::vector<ListedHost> &hosts)
{
    m_leavingHosts.clear();
    for (const auto &it : hosts) {
        if (it.leaving) {
            m_leavingHosts.insert(it.name);
        }
    }
    updateAllTargets();
}

void Membership::onPeerUp(const Peer &peer, HostRole role)
{
    const auto previous = m_lastIncarnations.find(peer.host);
    if (previous != m_lastIncarnations.end() && previous->second != peer.incarnation) {
        const Peer old {peer.host, previous->second};
        onPeerDown(old);
        m_listener.onPeerReplaced(old);
    }
    m_lastIncarnations[peer.host] = peer.incarnation;
    auto &view = m_peers[peer];
    view = {role, m_clock.now(), false, false};
    m_events.record(Event::PeerUp, Severity::Info, peer.host.text() + " " + textOf(peer.incarnation));
    m_listener.onPeerConnected(peer);
}

bool Membership::onPeerDown(const Peer &peer)
{
    if (m_peers.erase(peer) == 0) {
        return false;
    }
    m_events.record(Event::PeerDown, Severity::Warning, peer.host.text() + " " + textOf(peer.incarnation));
    recordLoss(peer.host);
    for (auto &[name, view] : m_targets) {
        if (view.daemon == peer) {
            updateUsable(view);
        }
    }
    return true;
}

void Membership::onMessage(const Peer &from)
{
    const auto it = m_peers.find(from);
    if (it == m_peers.end()) {
        return;
    }
    it->second.lastMessageAt = m_clock.now();
    if (it->second.silent) {
        it->second.silent = false;
        m_events.record(Event::PeerHeardAgain, Severity::Info, from.host.text());
    }
}

void Membership::onHeartbeat(const Peer &from, const Heartbeat &heartbeat)
{
    const auto it = m_peers.find(from);
    if (it != m_peers.end() && heartbeat.from == from && heartbeat.leaving && !it->second.leaving) {
        it->second.leaving = true;
        updateAllTargets();
    }
}

void Membership::onTargetStatus(const Peer &from, const TargetStatus &status)
{
    if (!isConnected(from)) {
        return;
    }
    auto &view = m_targets[status.target];
    const bool moved = view.daemon != from;
    view.daemon = from;
    view.status = status;
    if (moved && view.usable) {
        view.usable = false;
        m_listener.onTargetUnusable(status.target);
    }
    updateUsable(view);
    if (view.usable) {
        m_listener.onTargetUsable(status);
    }
}

void Membership::tick()
{
    const auto now = m_clock.now();
    const bool wasPaused = now - m_lastTick > maxTickGap;
    m_lastTick = now;
    if (wasPaused) {
        for (auto &[peer, view] : m_peers) {
            view.lastMessageAt = now;
        }
        return;
    }
    detectSilentDaemons();
}

bool Membership::isConnected(const Peer &peer) const
{
    return m_peers.count(peer) != 0;
}

std::optional<Peer> Membership::daemonOf(const TargetName &target) const
{
    const auto it = m_targets.find(target);
    if (it == m_targets.end() || !it->second.usable) {
        return std::nullopt;
    }
    return it->second.daemon;
}

bool Membership::mayHandOver(const TargetName &target, const Peer &from) const
{
    const auto peer = m_peers.find(from);
    const bool isLeaving = peer == m_peers.end() || peer->second.leaving || m_leavingHosts.count(from.host) != 0;
    return !isLeaving && !isDraining(target);
}

std::vector<Peer> Membership::connectedEntries() const
{
    std::vector<Peer> found;
    for (const auto &[peer, view] : m_peers) {
        if (view.role == HostRole::Entry) {
            found.push_back(peer);
        }
    }
    return found;
}

std::size_t Membership::connectedCount() const
{
    return m_peers.size();
}

std::size_t Membership::usableTargets() const
{
    return static_cast<std::size_t>(
        std::count_if(m_targets.begin(), m_targets.end(), [](const auto &it) { return it.second.usable; }));
}

bool Membership::inDoubt() const
{
    return m_inDoubt;
}

bool Membership::manyRecentLosses() const
{
    const auto now = m_clock.now();
    const auto recentLosses = std::count_if(
        m_lastLossAt.begin(), m_lastLossAt.end(), [&](const auto &it) { return now - it.second <= recentLossWindow; });
    return static_cast<std::size_t>(recentLosses) >= manyLossesThreshold;
}

void Membership::recordLoss(const HostName &host)
{
    const auto now = m_clock.now();
    m_lastLossAt[host] = now;
    auto &history = m_lossHistories[host];
    auto &losses = history.losses;
    losses.erase(
        std::remove_if(losses.begin(), losses.end(), [&](TimePoint it) { return now - it > lossHistoryWindow; }),
        losses.end());
    losses.push_back(now);
    if (losses.size() <= toleratedLosses) {
        return;
    }
    const auto doublings = std::min<std::size_t>(losses.size() - toleratedLosses - 1, 4);
    const auto holdOff = std::min(minHoldOff * (1 << doublings), maxHoldOff);
    history.heldOffUntil = now + holdOff;
    m_events.record(Event::PeerHeldOff,
                    Severity::Warning,
                    host.text() + " was lost " + std::to_string(losses.size()) + " times in 60 s; no new work for "
                        + std::to_string(std::chrono::duration_cast<std::chrono::seconds>(holdOff).count()) + " s");
}

bool Membership::isDraining(const TargetName &target) const
{
    if (!m_configuration) {
        return false;
    }
    const auto *spec = find(m_configuration->targets, target);
    if (spec == nullptr) {
        return true;
    }
    const auto *host = find(m_configuration->hosts, spec->host);
    return spec->state == ServingState::Draining || host == nullptr || host->state == ServingState::Draining;
}

bool Membership::isHeldOff(const HostName &host) const
{
    const auto it = m_lossHistories.find(host);
    return it != m_lossHistories.end() && m_clock.now() < it->second.heldOffUntil;
}

bool Membership::isUsable(const TargetView &view) const
{
    const auto peer = m_peers.find(view.daemon);
    const bool alive = peer != m_peers.end() && !peer->second.silent && !peer->second.leaving;
    const auto &host = view.daemon.host;
    return alive && view.status.accepting && m_leavingHosts.count(host) == 0 && !isHeldOff(host)
        && !isDraining(view.status.target);
}

void Membership::updateUsable(TargetView &view)
{
    const bool usable = isUsable(view);
    if (view.usable && !usable) {
        view.usable = false;
        m_listener.onTargetUnusable(view.status.target);
    } else if (usable) {
        view.usable = true;
    }
}

void Membership::updateAllTargets()
{
    for (auto &[name, view] : m_targets) {
        updateUsable(view);
    }
}

void Membership::detectSilentDaemons()
{
    const auto now = m_clock.now();
    std::vector<Peer> silent;
    std::size_t daemons = 0;
    for (const auto &[peer, view] : m_peers) {
        if (view.role != HostRole::Target) {
            continue;
        }
        ++daemons;
        if (now - view.lastMessageAt >= m_heartbeatTimeout) {
            silent.push_back(peer);
        }
    }
    const bool inDoubtNow = daemons >= minDaemonsToDoubt && silent.size() * 2 > daemons;
    if (inDoubtNow != m_inDoubt) {
        m_inDoubt = inDoubtNow;
        const auto text =
            std::to_string(silent.size()) + " of " + std::to_string(daemons) + " target daemons are silent";
        m_events.record(inDoubtNow ? Event::ObserverInDoubt : Event::ObserverSure, Severity::Warning, text);
    }
    if (inDoubtNow) {
        return;
    }
    for (const auto &it : silent) {
        auto &view = m_peers.at(it);
        if (!view.silent) {
            view.silent = true;
            m_events.record(Event::PeerSilent, Severity::Warning, it.host.text());
            recordLoss(it.host);
        }
    }
    updateAllTargets();
}

} // namespace monsoonward
