#include "tiergate.h"

#include <algorithm>

namespace monsoonward
{

namespace
{

constexpr Duration leaseDuration = std::chrono::milliseconds(600);
constexpr Duration renewalInterval = std::chrono::milliseconds(200);

// After its start an entry holds all tiers but the highest for this long. It is longer than a lease, so that any right
// to shed that other entries obtained before the start has expired.
constexpr Duration startupHold = std::chrono::milliseconds(700);

constexpr Duration peerLossTimeout = std::chrono::seconds(3); // then a lost entry counts as gone or cut off
constexpr Duration minDemandDuration = std::chrono::milliseconds(100);
constexpr Duration maxDemandDuration = std::chrono::seconds(2);

// After this long without a demand, the next one starts with the shortest duration again.
constexpr Duration demandResetInterval = std::chrono::seconds(5);

} // namespace

TierGate::TierGate(const ServiceName &service, const Clock &clock, EntryPolicyOutput &output, EventLog &events)
    : m_service(service)
    , m_clock(clock)
    , m_output(output)
    , m_events(events)
    , m_startedAt(clock.now())
{
}

void TierGate::setLowestTier(Tier lowest)
{
    const bool wasOpen = m_closedFrom == allOpenLevel();
    m_lowestLevel = lowest.level();
    m_closedFrom = wasOpen ? allOpenLevel() : std::min(m_closedFrom, allOpenLevel());
}

void TierGate::onEntryUp(const Peer &peer)
{
    auto &peerState = m_peers[peer.host];
    peerState = PeerState {};
    peerState.peer = peer;
    const auto from = levelToRequest();
    if (from < allOpenLevel()) {
        requestClosing(from);
    }
}

void TierGate::onEntryDown(const Peer &peer)
{
    auto *peerState = findPeer(peer);
    if (peerState != nullptr && peerState->reachable) {
        peerState->reachable = false;
        peerState->unreachableSince = m_clock.now();
    }
}

void TierGate::onCloseTiers(const Peer &from, const CloseTiers &request)
{
    auto *peerState = findPeer(from);
    if (peerState == nullptr || request.sequence <= peerState->requestSequence) {
        return;
    }
    peerState->requestSequence = request.sequence;
    peerState->requestedFrom = std::min(std::max(request.highestTier.level(), 1U), allOpenLevel());
    peerState->requestExpiresAt = m_clock.now() + request.lease;
    peerState->confirmedFrom = allOpenLevel();
    // Earlier promises stay valid, since the peer may still rely on them.
    for (Level level = peerState->requestedFrom; level < allOpenLevel(); ++level) {
        auto &until = peerState->promisedUntil[level];
        until = std::max(until, peerState->requestExpiresAt);
    }
    confirmClosed(*peerState);
}

void TierGate::onTiersClosed(const Peer &from, const TiersClosed &confirmation)
{
    auto *peerState = findPeer(from);
    const auto sent =
        std::find_if(m_sentRequests.begin(), m_sentRequests.end(), [&confirmation](const SentRequest &it) {
            return it.sequence == confirmation.sequence;
        });
    if (peerState == nullptr || sent == m_sentRequests.end()) {
        return;
    }
    for (Level level = confirmation.highestTier.level(); level < allOpenLevel(); ++level) {
        auto &until = peerState->closedUntil[level];
        until = std::max(until, sent->sentAt + leaseDuration);
    }
}

void TierGate::requestShedding(Tier tier)
{
    if (tier.level() >= m_lowestLevel) {
        return;
    }
    const auto now = m_clock.now();
    auto &demand = m_demands[tier.level()];
    if (now > demand.until + demandResetInterval) {
        demand.duration = minDemandDuration;
    } else if (now > demand.until) {
        demand.duration = std::min(demand.duration * 2, maxDemandDuration);
    }
    demand.until = now + demand.duration;
    const auto from = levelToRequest();
    if (from < allOpenLevel() && (from < m_requestedFrom || now - m_requestedAt >= leaseDuration)) {
        requestClosing(from);
    }
}

bool TierGate::mayShed(Tier tier) const
{
    return mayShedLevel(tier.level());
}

TierState TierGate::stateOf(Tier tier) const
{
    const auto level = tier.level();
    if (level >= m_closedFrom) {
        return mayShedLevel(level) ? TierState::Closed : TierState::Held;
    }
    const bool starting = level > 0 && m_clock.now() - m_startedAt < startupHold;
    return starting || level >= desiredClosedFrom() ? TierState::Held : TierState::Open;
}

void TierGate::tick(const std::function<void(Tier)> &evict)
{
    const auto now = m_clock.now();
    for (auto it = m_peers.begin(); it != m_peers.end();) {
        const bool gone = !it->second.reachable && now - it->second.unreachableSince >= peerLossTimeout;
        it = gone ? m_peers.erase(it) : std::next(it);
    }
    const auto before = m_closedFrom;
    const auto desired = desiredClosedFrom();
    m_closedFrom = std::max(m_closedFrom, desired);
    for (Level level = allOpenLevel(); level > m_closedFrom && mayShedLevel(level - 1); --level) {
        evict(Tier(level - 1)); // requests that arrived while the confirmations had expired
    }
    while (m_closedFrom > desired && mayShedLevel(m_closedFrom - 1)) {
        --m_closedFrom;
        evict(Tier(m_closedFrom));
    }
    recordChange(before);
    confirmAll();
    const auto from = levelToRequest();
    if (from < allOpenLevel() && (from < m_requestedFrom || now - m_requestedAt >= renewalInterval)) {
        requestClosing(from);
    }
}

TierGate::Level TierGate::allOpenLevel() const
{
    return m_lowestLevel + 1;
}

TierGate::Level TierGate::demandedClosedFrom() const
{
    const auto now = m_clock.now();
    for (const auto &[level, demand] : m_demands) {
        if (demand.until >= now) {
            return level + 1;
        }
    }
    return allOpenLevel();
}

TierGate::Level TierGate::desiredClosedFrom() const
{
    const auto now = m_clock.now();
    auto from = demandedClosedFrom();
    for (const auto &[host, it] : m_peers) {
        for (const auto &[level, until] : it.promisedUntil) {
            from = until > now ? std::min(from, level) : from;
        }
    }
    return from;
}

TierGate::Level TierGate::levelToRequest() const
{
    return std::min(demandedClosedFrom(), std::min(desiredClosedFrom() + 1, allOpenLevel()));
}

bool TierGate::closedAtAllPeers(Level from) const
{
    const auto now = m_clock.now();
    for (const auto &[host, it] : m_peers) {
        for (Level level = from; level < allOpenLevel(); ++level) {
            const auto closed = it.closedUntil.find(level);
            if (closed == it.closedUntil.end() || closed->second <= now) {
                return false;
            }
        }
    }
    return true;
}

bool TierGate::mayShedLevel(Level level) const
{
    if (level >= m_lowestLevel) {
        return true;
    }
    return m_closedFrom <= level + 1 && closedAtAllPeers(level + 1);
}

void TierGate::requestClosing(Level from)
{
    const auto now = m_clock.now();
    m_sentRequests.erase(std::remove_if(m_sentRequests.begin(),
                                        m_sentRequests.end(),
                                        [now](const SentRequest &it) { return now - it.sentAt >= leaseDuration; }),
                         m_sentRequests.end());
    m_sentRequests.push_back({++m_requestSequence, now});
    m_requestedFrom = from;
    m_requestedAt = now;
    for (const auto &[host, it] : m_peers) {
        m_output.sendToEntry(it.peer, CloseTiers {m_service, Tier(from), m_requestSequence, leaseDuration});
    }
}

void TierGate::confirmClosed(PeerState &peerState)
{
    const auto from = std::max(m_closedFrom, peerState.requestedFrom);
    if (peerState.requestExpiresAt <= m_clock.now() || from >= peerState.confirmedFrom) {
        return;
    }
    peerState.confirmedFrom = from;
    m_output.sendToEntry(peerState.peer, TiersClosed {m_service, Tier(from), peerState.requestSequence});
}

void TierGate::confirmAll()
{
    for (auto &[host, it] : m_peers) {
        confirmClosed(it);
    }
}

void TierGate::recordChange(Level before)
{
    if (m_closedFrom < before) {
        m_events.record(Event::TiersClosed,
                        Severity::Warning,
                        "service \"" + m_service.text() + "\": highest closed tier is " + std::to_string(m_closedFrom));
    } else if (m_closedFrom > before) {
        m_events.record(Event::TiersReopened,
                        Severity::Info,
                        "service \"" + m_service.text() + "\": lowest open tier is "
                            + std::to_string(m_closedFrom - 1));
    }
}

TierGate::PeerState *TierGate::findPeer(const Peer &peer)
{
    const auto it = m_peers.find(peer.host);
    return it != m_peers.end() && it->second.peer == peer ? &it->second : nullptr;
}

} // namespace monsoonward
