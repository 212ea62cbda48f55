#include "monsoonward/dispatch/streamdirectory.h"

#include <algorithm>

namespace monsoonward
{

StreamOrigin originIn(const StreamMessage &message, TimePoint now)
{
    return {message.build, message.isDoubtful, now + message.left};
}

StreamMessage messageOf(StreamMessage::Kind kind, const StreamKey &stream, const StreamOrigin &origin, TimePoint now)
{
    return {kind, stream, origin.build, origin.isDoubtful, std::max(origin.expiresAt - now, Duration::zero())};
}

StreamDirectory::StreamDirectory(const FleetView &fleet,
                                 StreamMessenger &messenger,
                                 std::size_t holders,
                                 std::size_t capacity)
    : m_ranking(fleet)
    , m_messenger(messenger)
    , m_holders(holders)
    , m_table(capacity)
{
}

void StreamDirectory::setPeers(std::vector<StreamPeer> peers, TimePoint now)
{
    m_copies.setAffectedDue(m_ranking.setPeers(std::move(peers)), now);
    review(now);
    if (std::exchange(m_isListed, true)) {
        return;
    }
    for (auto &[stream, lookup] : m_lookups) {
        lookup.ranked = m_ranking.ranked(stream, maxAsked, now);
        lookup.timeoutAt = now; // without other daemons, tick() ends it
        askMore(stream, lookup, m_holders, now);
    }
}

void StreamDirectory::record(const StreamKey &stream, const StreamOrigin &origin, EngineRun run, TimePoint now)
{
    if (const auto dropped = m_table.record(stream, origin, run, now)) {
        forget(*dropped);
    }
}

void StreamDirectory::forget(const StreamKey &stream)
{
    m_copies.forget(stream);
}

std::vector<StreamPeer>
StreamDirectory::begin(const StreamKey &stream, const EngineRecord &engine, Duration left, TimePoint now)
{
    record(stream, {buildOf(engine), false, now + left}, runOf(engine), now);
    const auto origin = m_table.find(stream, now);
    if (!origin) {
        return {};
    }
    auto holders = m_ranking.ranked(stream, m_holders, now);
    auto &copies = m_copies.of(stream);
    m_copies.setHolders(stream, holders, m_holders);
    for (const auto &it : holders) {
        m_messenger.send(it.address, messageOf(StreamMessage::Kind::Tell, stream, *origin, now));
        if (StreamCopies::find(copies, runOf(it)) == nullptr) {
            copies.push_back({runOf(it), 0, false, now});
        }
    }
    if (m_isLeaving) {
        m_copies.setDue(stream, now);
    }
    return holders;
}

std::size_t StreamDirectory::buildChanged(const EngineRecord &former, TimePoint readAsOf, TimePoint now)
{
    return doubt(former, readAsOf - EngineDirectory::registrationDelay, now);
}

std::size_t StreamDirectory::doubt(const EngineRecord &engine, TimePoint since, TimePoint now)
{
    const auto doubted = m_table.doubt(runOf(engine), since);
    for (const auto &it : doubted) {
        spreadDoubt(it, nullptr, now);
    }
    return doubted.size();
}

std::optional<StreamOrigin> StreamDirectory::findHere(const StreamKey &stream, TimePoint now) const
{
    return m_table.find(stream, now);
}

void StreamDirectory::find(const StreamKey &stream, Found found, TimePoint now)
{
    if (const auto origin = m_table.find(stream, now)) {
        found({origin, "here", {}});
        return;
    }
    const auto [it, isNew] = m_lookups.try_emplace(stream);
    it->second.callbacks.push_back(std::move(found));
    if (!isNew) {
        return;
    }
    if (!m_isListed) {
        it->second.timeoutAt = now + listTimeout; // setPeers() asks
        return;
    }
    it->second.ranked = m_ranking.ranked(stream, maxAsked, now);
    askMore(stream, it->second, m_holders, now);
    if (it->second.peers.empty()) {
        finish(it, std::nullopt, "");
    }
}

void StreamDirectory::askMore(const StreamKey &stream, Lookup &lookup, std::size_t count, TimePoint now)
{
    const auto end = std::min(lookup.peers.size() + count, lookup.ranked.size());
    while (lookup.peers.size() < end) {
        const auto &peer = lookup.ranked[lookup.peers.size()];
        m_messenger.send(peer.address, {StreamMessage::Kind::Ask, stream, 0, false, {}});
        lookup.peers.push_back({peer.host, false});
        ++lookup.awaited;
        lookup.timeoutAt = now + answerTimeout;
    }
}

void StreamDirectory::receive(const Address &from, const StreamMessage &message, TimePoint now)
{
    switch (message.kind) {
    case StreamMessage::Kind::Tell:
        receiveTell(from, message, now);
        return;
    case StreamMessage::Kind::Ask: {
        const auto origin = m_table.find(message.stream, now);
        m_messenger.send(from,
                         origin ? messageOf(StreamMessage::Kind::Known, message.stream, *origin, now)
                                : StreamMessage {StreamMessage::Kind::Unknown, message.stream, 0, false, {}});
        return;
    }
    case StreamMessage::Kind::Known:
        receiveKnown(from, message, now);
        answered(from, message, now);
        return;
    case StreamMessage::Kind::Unknown:
        answered(from, message, now);
        return;
    }
}

void StreamDirectory::answered(const Address &from, const StreamMessage &message, TimePoint now)
{
    const auto it = m_lookups.find(message.stream);
    if (it == m_lookups.end()) {
        return;
    }
    auto &lookup = it->second;
    const auto end = lookup.ranked.begin() + static_cast<std::ptrdiff_t>(lookup.peers.size());
    const auto peer =
        std::find_if(lookup.ranked.begin(), end, [&](const StreamPeer &asked) { return asked.address == from; });
    if (peer == end) {
        return;
    }
    const auto asked = lookup.peers.begin() + (peer - lookup.ranked.begin());
    if (message.kind == StreamMessage::Kind::Known) {
        record(message.stream, originIn(message, now), 0, now);
        const auto source = peer->host.text();
        lookup.peers.erase(asked);
        finish(it, m_table.find(message.stream, now), source);
        return;
    }
    asked->hasAnswered = true;
    lookup.awaited -= std::min<std::size_t>(lookup.awaited, 1);
    askMore(message.stream, lookup, 1, now);
    if (lookup.awaited == 0) {
        finish(it, std::nullopt, "");
    }
}

void StreamDirectory::tick(TimePoint now)
{
    for (const auto &it : m_table.expire(now)) {
        forget(it);
    }
    if (now >= m_nextReviewAt) {
        review(now);
    }
    std::vector<StreamKey> silent;
    for (auto &[stream, lookup] : m_lookups) {
        if (lookup.timeoutAt > now) {
            continue;
        }
        lookup.awaited = 0;
        askMore(stream, lookup, m_holders, now);
        if (lookup.awaited == 0) {
            silent.push_back(stream);
        }
    }
    for (const auto &it : silent) {
        finish(m_lookups.find(it), std::nullopt, "");
    }
}

void StreamDirectory::finish(Lookups::iterator it, std::optional<StreamOrigin> origin, std::string source)
{
    const auto lookup = std::move(it->second);
    m_lookups.erase(it); // a callback may look the stream up again
    const StreamFinding finding {origin, std::move(source), lookup.peers};
    for (const auto &callback : lookup.callbacks) {
        callback(finding);
    }
}

std::optional<TimePoint> StreamDirectory::nextTickAt() const
{
    auto next = m_copies.nextDueAt();
    if (next) {
        next = std::max(*next, m_nextReviewAt);
    }
    for (const auto &it : m_lookups) {
        next = next ? std::min(*next, it.second.timeoutAt) : it.second.timeoutAt;
    }
    return next;
}

std::size_t StreamDirectory::size() const
{
    return m_table.size();
}

std::uint64_t StreamDirectory::dropped() const
{
    return m_table.dropped();
}

} // namespace monsoonward
