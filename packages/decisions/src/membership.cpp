#include "membership.h"

#include <algorithm>

namespace monsoonward
{

namespace
{

constexpr Duration flapWindow = std::chrono::seconds(60);
constexpr std::size_t freeLosses = 2; // losses within the window that cost no hold-off
constexpr Duration firstHoldOff = std::chrono::seconds(2);
constexpr Duration longestHoldOff = std::chrono::seconds(30);
constexpr Duration ownPause = std::chrono::seconds(1); // a longer gap between ticks means that this process stood still
constexpr Duration lossWindow = std::chrono::seconds(3);
constexpr std::size_t manyLosses = 3; // daemons lost within the loss window
constexpr std::size_t smallestFleetToDoubt = 4; // targets' daemons

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
    reviewAll();
}

void Membership::updateHostList(const std::vector<ListedHost> &hosts)
{
    m_listedLeaving.clear();
    for (const auto &it : hosts) {
        if (it.leaving) {
            m_listedLeaving.insert(it.name);
        }
    }
    reviewAll();
}

void Membership::peerUp(const Peer &peer, HostRole role)
{
    const auto last = m_incarnations.find(peer.host);
    if (last != m_incarnations.end() && last->second != peer.incarnation) {
        const Peer old {peer.host, last->second};
        peerDown(old);
        m_listener.peerReplaced(old);
    }
    m_incarnations[peer.host] = peer.incarnation;
    auto &view = m_peers[peer];
    view = {role, m_clock.now(), false, false};
    m_events.record(Event::PeerUp, Severity::Info, peer.host.text() + " " + textOf(peer.incarnation));
    m_listener.peerBack(peer);
}

bool Membership::peerDown(const Peer &peer)
{
    if (m_peers.erase(peer) == 0) {
        return false;
    }
    m_events.record(Event::PeerDown, Severity::Warning, peer.host.text() + " " + textOf(peer.incarnation));
    lost(peer.host);
    for (auto &[name, view] : m_targets) {
        if (view.daemon == peer) {
            review(view);
        }
    }
    return true;
}

void Membership::heard(const Peer &from)
{
    const auto it = m_peers.find(from);
    if (it == m_peers.end()) {
        return;
    }
    it->second.heardAt = m_clock.now();
    if (it->second.silent) {
        it->second.silent = false;
        m_events.record(Event::PeerHeardAgain, Severity::Info, from.host.text());
    }
}

void Membership::heartbeat(const Peer &from, const Heartbeat &heartbeat)
{
    const auto it = m_peers.find(from);
    if (it != m_peers.end() && heartbeat.from == from && heartbeat.leaving && !it->second.leaving) {
        it->second.leaving = true;
        reviewAll();
    }
}

void Membership::targetStatus(const Peer &from, const TargetStatus &status)
{
    if (!connected(from)) {
        return;
    }
    auto &view = m_targets[status.target];
    const bool moved = view.daemon != from;
    view.daemon = from;
    view.status = status;
    if (moved && view.usable) {
        view.usable = false;
        m_listener.targetUnusable(status.target);
    }
    review(view);
    if (view.usable) {
        m_listener.targetUsable(status);
    }
}

void Membership::tick()
{
    const auto now = m_clock.now();
    const bool stoodStill = now - m_lastTick > ownPause;
    m_lastTick = now;
    if (stoodStill) {
        for (auto &[peer, view] : m_peers) {
            view.heardAt = now;
        }
        return;
    }
    judgeSilence();
}

bool Membership::connected(const Peer &peer) const
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
    const bool leaves = peer == m_peers.end() || peer->second.leaving || m_listedLeaving.count(from.host) != 0;
    return !leaves && !drains(target);
}

std::vector<Peer> Membership::entries() const
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

bool Membership::manyLost() const
{
    const auto now = m_clock.now();
    const auto recent =
        std::count_if(m_lostAt.begin(), m_lostAt.end(), [&](const auto &it) { return now - it.second <= lossWindow; });
    return static_cast<std::size_t>(recent) >= manyLosses;
}

void Membership::lost(const HostName &host)
{
    const auto now = m_clock.now();
    m_lostAt[host] = now;
    auto &flap = m_flaps[host];
    auto &losses = flap.losses;
    losses.erase(std::remove_if(losses.begin(), losses.end(), [&](TimePoint it) { return now - it > flapWindow; }),
                 losses.end());
    losses.push_back(now);
    if (losses.size() <= freeLosses) {
        return;
    }
    const auto doublings = std::min<std::size_t>(losses.size() - freeLosses - 1, 4);
    const auto holdOff = std::min(firstHoldOff * (1 << doublings), longestHoldOff);
    flap.heldOffUntil = now + holdOff;
    m_events.record(Event::PeerHeldOff,
                    Severity::Warning,
                    host.text() + " was lost " + std::to_string(losses.size()) + " times in 60 s; no new work for "
                        + std::to_string(std::chrono::duration_cast<std::chrono::seconds>(holdOff).count()) + " s");
}

bool Membership::drains(const TargetName &target) const
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

bool Membership::heldOff(const HostName &host) const
{
    const auto it = m_flaps.find(host);
    return it != m_flaps.end() && m_clock.now() < it->second.heldOffUntil;
}

bool Membership::shouldUse(const TargetView &view) const
{
    const auto peer = m_peers.find(view.daemon);
    const bool alive = peer != m_peers.end() && !peer->second.silent && !peer->second.leaving;
    const auto &host = view.daemon.host;
    return alive && view.status.accepting && m_listedLeaving.count(host) == 0 && !heldOff(host)
        && !drains(view.status.target);
}

void Membership::review(TargetView &view)
{
    const bool use = shouldUse(view);
    if (view.usable && !use) {
        view.usable = false;
        m_listener.targetUnusable(view.status.target);
    } else if (use) {
        view.usable = true;
    }
}

void Membership::reviewAll()
{
    for (auto &[name, view] : m_targets) {
        review(view);
    }
}

void Membership::judgeSilence()
{
    const auto now = m_clock.now();
    std::vector<Peer> silent;
    std::size_t daemons = 0;
    for (const auto &[peer, view] : m_peers) {
        if (view.role != HostRole::Target) {
            continue;
        }
        ++daemons;
        if (now - view.heardAt >= m_heartbeatTimeout) {
            silent.push_back(peer);
        }
    }
    const bool doubt = daemons >= smallestFleetToDoubt && silent.size() * 2 > daemons;
    if (doubt != m_inDoubt) {
        m_inDoubt = doubt;
        const auto text = std::to_string(silent.size()) + " of " + std::to_string(daemons) + " target daemons silent";
        m_events.record(doubt ? Event::ObserverInDoubt : Event::ObserverSure, Severity::Warning, text);
    }
    if (doubt) {
        return;
    }
    for (const auto &it : silent) {
        auto &view = m_peers.at(it);
        if (!view.silent) {
            view.silent = true;
            m_events.record(Event::PeerSilent, Severity::Warning, it.host.text());
            lost(it.host);
        }
    }
    reviewAll();
}

} // namespace monsoonward
