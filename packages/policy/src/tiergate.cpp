#include "tiergate.h"

#include <algorithm>

namespace monsoonward
{

namespace
{

constexpr Duration lease = std::chrono::milliseconds(600);
constexpr Duration renewal = std::chrono::milliseconds(200);
constexpr Duration startGrace = std::chrono::milliseconds(700); // longer than a lease, so that older rights have lapsed
constexpr Duration lostGrace = std::chrono::seconds(3); // after this a lost entry counts as gone or cut off
constexpr Duration shortestHold = std::chrono::milliseconds(100);
constexpr Duration longestHold = std::chrono::seconds(2);
constexpr Duration calm = std::chrono::seconds(5); // without need for this long, the next hold is the shortest again

} // namespace

TierGate::TierGate(const ServiceName &service, const Clock &clock, EntryPolicyOutput &output, EventLog &events)
    : m_service(service)
    , m_clock(clock)
    , m_output(output)
    , m_events(events)
    , m_startedAt(clock.now())
{
}

void TierGate::setLowest(Tier lowest)
{
    const bool wasOpen = m_effective == allOpen();
    m_lowest = lowest.level();
    m_effective = wasOpen ? allOpen() : std::min(m_effective, allOpen());
}

void TierGate::onEntryUp(const Peer &peer)
{
    auto &view = m_peers[peer.host];
    view = PeerView {};
    view.peer = peer;
    const auto from = askFrom();
    if (from < allOpen()) {
        ask(from);
    }
}

void TierGate::onEntryDown(const Peer &peer)
{
    auto *view = viewOf(peer);
    if (view != nullptr && view->reachable) {
        view->reachable = false;
        view->lostAt = m_clock.now();
    }
}

void TierGate::closeAsked(const Peer &from, const CloseTiers &ask)
{
    auto *view = viewOf(from);
    if (view == nullptr || ask.sequence <= view->askNumber) {
        return;
    }
    view->askNumber = ask.sequence;
    view->askedFrom = std::min(std::max(ask.highestTier.level(), 1U), allOpen());
    view->askExpires = m_clock.now() + ask.lease;
    view->answeredFrom = allOpen();
    // An earlier promise stays: the peer may still rely on it.
    for (Level level = view->askedFrom; level < allOpen(); ++level) {
        auto &until = view->promisedUntil[level];
        until = std::max(until, view->askExpires);
    }
    answer(*view);
}

void TierGate::closedAnswered(const Peer &from, const TiersClosed &answer)
{
    auto *view = viewOf(from);
    const auto sent = std::find_if(
        m_sent.begin(), m_sent.end(), [&answer](const SentAsk &it) { return it.number == answer.sequence; });
    if (view == nullptr || sent == m_sent.end()) {
        return;
    }
    for (Level level = answer.highestTier.level(); level < allOpen(); ++level) {
        auto &until = view->closedUntil[level];
        until = std::max(until, sent->at + lease);
    }
}

void TierGate::needShed(Tier tier)
{
    if (tier.level() >= m_lowest) {
        return;
    }
    const auto now = m_clock.now();
    auto &need = m_needs[tier.level()];
    if (now > need.until + calm) {
        need.hold = shortestHold;
    } else if (now > need.until) {
        need.hold = std::min(need.hold * 2, longestHold);
    }
    need.until = now + need.hold;
    const auto from = askFrom();
    if (from < allOpen() && (from < m_askedFrom || now - m_askedAt >= lease)) {
        ask(from);
    }
}

bool TierGate::mayShed(Tier tier) const
{
    return mayShedLevel(tier.level());
}

TierStanding TierGate::standing(Tier tier) const
{
    const auto level = tier.level();
    if (level >= m_effective) {
        return mayShedLevel(level) ? TierStanding::Closed : TierStanding::Held;
    }
    const bool starting = level > 0 && m_clock.now() - m_startedAt < startGrace;
    return starting || level >= desiredFrom() ? TierStanding::Held : TierStanding::Open;
}

void TierGate::tick(const std::function<void(Tier)> &evict)
{
    const auto now = m_clock.now();
    for (auto it = m_peers.begin(); it != m_peers.end();) {
        const bool gone = !it->second.reachable && now - it->second.lostAt >= lostGrace;
        it = gone ? m_peers.erase(it) : std::next(it);
    }
    const auto before = m_effective;
    const auto desired = desiredFrom();
    m_effective = std::max(m_effective, desired);
    for (Level level = allOpen(); level > m_effective && mayShedLevel(level - 1); --level) {
        evict(Tier(level - 1)); // requests held while the right had lapsed
    }
    while (m_effective > desired && mayShedLevel(m_effective - 1)) {
        --m_effective;
        evict(Tier(m_effective));
    }
    recordChange(before);
    answerAll();
    const auto from = askFrom();
    if (from < allOpen() && (from < m_askedFrom || now - m_askedAt >= renewal)) {
        ask(from);
    }
}

TierGate::Level TierGate::allOpen() const
{
    return m_lowest + 1;
}

TierGate::Level TierGate::neededFrom() const
{
    const auto now = m_clock.now();
    for (const auto &[level, need] : m_needs) {
        if (need.until >= now) {
            return level + 1;
        }
    }
    return allOpen();
}

TierGate::Level TierGate::desiredFrom() const
{
    const auto now = m_clock.now();
    auto from = neededFrom();
    for (const auto &[host, it] : m_peers) {
        for (const auto &[level, until] : it.promisedUntil) {
            from = until > now ? std::min(from, level) : from;
        }
    }
    return from;
}

TierGate::Level TierGate::askFrom() const
{
    return std::min(neededFrom(), std::min(desiredFrom() + 1, allOpen()));
}

bool TierGate::closedElsewhere(Level from) const
{
    const auto now = m_clock.now();
    for (const auto &[host, it] : m_peers) {
        for (Level level = from; level < allOpen(); ++level) {
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
    if (level >= m_lowest) {
        return true;
    }
    return m_effective <= level + 1 && closedElsewhere(level + 1);
}

void TierGate::ask(Level from)
{
    const auto now = m_clock.now();
    m_sent.erase(
        std::remove_if(m_sent.begin(), m_sent.end(), [now](const SentAsk &it) { return now - it.at >= lease; }),
        m_sent.end());
    m_sent.push_back({++m_askNumber, now});
    m_askedFrom = from;
    m_askedAt = now;
    for (const auto &[host, it] : m_peers) {
        m_output.sendToEntry(it.peer, CloseTiers {m_service, Tier(from), m_askNumber, lease});
    }
}

void TierGate::answer(PeerView &view)
{
    const auto from = std::max(m_effective, view.askedFrom);
    if (view.askExpires <= m_clock.now() || from >= view.answeredFrom) {
        return;
    }
    view.answeredFrom = from;
    m_output.sendToEntry(view.peer, TiersClosed {m_service, Tier(from), view.askNumber});
}

void TierGate::answerAll()
{
    for (auto &[host, it] : m_peers) {
        answer(it);
    }
}

void TierGate::recordChange(Level before)
{
    if (m_effective < before) {
        m_events.record(Event::TiersClosed,
                        Severity::Warning,
                        "service \"" + m_service.text() + "\" from tier " + std::to_string(m_effective));
    } else if (m_effective > before) {
        m_events.record(Event::TiersReopened,
                        Severity::Info,
                        "service \"" + m_service.text() + "\" up to tier " + std::to_string(m_effective - 1));
    }
}

TierGate::PeerView *TierGate::viewOf(const Peer &peer)
{
    const auto it = m_peers.find(peer.host);
    return it != m_peers.end() && it->second.peer == peer ? &it->second : nullptr;
}

} // namespace monsoonward
