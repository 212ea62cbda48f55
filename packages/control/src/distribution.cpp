#include "distribution.h"

#include <algorithm>

namespace monsoonward
{

namespace
{

constexpr std::size_t maxRecentDeltas = 256;
constexpr std::size_t maxRecentBytes = std::size_t {1024} * 1024;
constexpr std::size_t deltasPerScan = 64;
constexpr Revision maxDeltaGap = 256; // a daemon that is further behind reads the snapshot instead of deltas
constexpr unsigned followerPollFactor = 10; // followers multiply the poll interval by this
constexpr Duration requestTimeout = std::chrono::milliseconds(500);
constexpr Duration crossRegionDelay =
    std::chrono::seconds(2); // a follower that is behind for this long may ask another region
constexpr Duration peerReportDelay =
    std::chrono::seconds(2); // time for all peers to report their revision after the first one connects

} // namespace

Distribution::Distribution(const ControlOptions &options,
                           const Clock &clock,
                           Random &random,
                           GuardedStore &store,
                           Membership &membership,
                           ControlOutput &output,
                           EventLog &events)
    : m_options(options)
    , m_clock(clock)
    , m_random(random)
    , m_store(store)
    , m_membership(membership)
    , m_output(output)
    , m_events(events)
    , m_nextPoll(clock.now())
{
}

ConfigurationPtr Distribution::current() const
{
    return m_current;
}

Revision Distribution::revision() const
{
    return m_current ? m_current->revision : 0;
}

ContentHash Distribution::hash() const
{
    return m_hash;
}

bool Distribution::isTrusted() const
{
    return m_trusted;
}

const std::optional<Row> &Distribution::headRow() const
{
    return m_headRow;
}

void Distribution::tick()
{
    if (!m_polling && m_clock.now() >= m_nextPoll) {
        readHead();
    }
    if (!m_trusted) {
        adoptCandidate();
    }
    requestFromPeer();
}

void Distribution::pollNow()
{
    m_pollAgain = true;
    m_nextPoll = m_clock.now();
}

// ---- store

void Distribution::readHead()
{
    m_polling = true;
    m_store.read(headKey, [this](const Result<std::optional<Row>> &result) { onHeadRead(result); });
}

void Distribution::onHeadRead(const Result<std::optional<Row>> &result)
{
    if (!result) {
        endPoll();
        return;
    }
    m_headRow = result.value();
    if (!m_headRow) {
        m_trusted = true; // no configuration has ever been declared
        endPoll();
        return;
    }
    const auto head = decodeRecord<HeadRecord>(m_headRow->value);
    if (!head) {
        m_events.record(Event::ConfigurationRejected, Severity::Error, head.error().message);
        endPoll();
        return;
    }
    catchUp(head.value());
}

void Distribution::catchUp(const HeadRecord &head)
{
    if (revision() >= head.revision) {
        m_trusted = true;
        endPoll();
        return;
    }
    const bool canReadDeltas =
        revision() >= head.snapshot || (revision() > 0 && head.revision - revision() <= maxDeltaGap);
    if (canReadDeltas) {
        readDeltas(head);
    } else {
        readSnapshot(head);
    }
}

void Distribution::readDeltas(const HeadRecord &head)
{
    const auto after = deltaPrefix + paddedText(revision());
    m_store.scan(deltaPrefix, after, deltasPerScan, [this, head](const Result<std::vector<Row>> &result) {
        if (!result) {
            endPoll();
            return;
        }
        const auto before = revision();
        for (const auto &it : result.value()) {
            const auto next = revision() + 1;
            if (it.key != deltaPrefix + paddedText(next) || !applyDelta(next, it.value)) {
                break;
            }
        }
        if (revision() > before) {
            catchUp(head);
        } else if (head.snapshot > revision()) {
            readSnapshot(head);
        } else {
            endPoll();
        }
    });
}

void Distribution::readSnapshot(const HeadRecord &head)
{
    m_store.get(head.snapshotObject, [this, head](const Result<std::string> &result) {
        const auto before = revision();
        if (!result || !applySnapshot(result.value()) || revision() <= before) {
            endPoll();
            return;
        }
        catchUp(head);
    });
}

void Distribution::endPoll()
{
    m_polling = false;
    const bool isFollower = m_trusted && !m_membership.isLeader(m_current);
    const auto interval = m_options.pollInterval * (isFollower ? followerPollFactor : 1);
    m_nextPoll = m_clock.now() + (m_pollAgain ? Duration::zero() : interval);
    m_pollAgain = false;
}

// ---- adoption

bool Distribution::applyDelta(Revision revision, const std::string &bytes)
{
    const auto delta = decodeDelta(bytes);
    if (!delta) {
        m_events.record(Event::ConfigurationRejected, Severity::Error, delta.error().message);
        return false;
    }
    const Configuration empty;
    const auto &base = m_current ? *m_current : empty;
    checkInvariant(revision == base.revision + 1, "configuration-delta-follows", std::to_string(revision));
    const auto hash = hashAfter(m_hash, base, delta.value().change);
    if (hash != delta.value().hash) {
        m_events.record(Event::ConfigurationRejected,
                        Severity::Error,
                        "the change to revision " + std::to_string(revision) + " doesn't match its hash");
        return false;
    }
    auto next = applied(base, delta.value().change);
    keepRecentDelta(revision, bytes);
    adopt(std::move(next), hash);
    return true;
}

bool Distribution::applySnapshot(const std::string &bytes)
{
    const auto snapshot = decodeSnapshot(bytes);
    if (!snapshot) {
        m_events.record(Event::ConfigurationRejected, Severity::Error, snapshot.error().message);
        return false;
    }
    if (snapshot.value().configuration.revision <= revision()) {
        return true;
    }
    m_recentDeltas.clear();
    m_recentBytes = 0;
    auto configuration = snapshot.value().configuration;
    adopt(std::move(configuration), snapshot.value().hash);
    return true;
}

void Distribution::adopt(Configuration &&configuration, ContentHash hash)
{
    checkInvariant(configuration.revision > revision(),
                   "configuration-never-reverts",
                   std::to_string(configuration.revision) + " after " + std::to_string(revision()));
    m_current = std::make_shared<const Configuration>(std::move(configuration));
    m_hash = hash;
    m_requestedAt.reset();
    m_behindSince.reset();
    m_events.record(Event::ConfigurationAdopted, Severity::Info, "revision " + std::to_string(revision()));
    m_output.adopt(m_current);
    announce();
}

void Distribution::onCommitted(const Delta &delta)
{
    m_trusted = true;
    applyDelta(revision() + 1, encodeDelta(delta));
}

void Distribution::keepRecentDelta(Revision revision, const std::string &bytes)
{
    m_recentDeltas.push_back({revision, bytes});
    m_recentBytes += bytes.size();
    while (m_recentDeltas.size() > maxRecentDeltas || m_recentBytes > maxRecentBytes) {
        m_recentBytes -= m_recentDeltas.front().bytes.size();
        m_recentDeltas.pop_front();
    }
}

// ---- peers

void Distribution::announce()
{
    if (m_options.role != HostRole::Entry) {
        return;
    }
    const ConfigurationOffer notice {revision(), revision(), {}};
    for (const auto &[host, view] : m_membership.peers()) {
        if (view.revision >= revision()) {
            continue;
        }
        const bool isLocal = m_membership.isLocal(view.peer, m_current);
        const auto region = regionOf(*m_current, host);
        if (isLocal || m_membership.leaderOf(region, *m_current) == &view) {
            m_output.send(view.peer, notice);
        }
    }
}

void Distribution::onPeerRevision(const Peer &peer, Revision revision)
{
    m_membership.peerHeard(peer, revision);
    requestFromPeer();
}

void Distribution::requestFromPeer()
{
    const auto now = m_clock.now();
    if (m_requestedAt && now - *m_requestedAt < requestTimeout) {
        return;
    }
    const auto *peer = choosePeer();
    if (peer == nullptr) {
        return;
    }
    if (!m_behindSince) {
        m_behindSince = now;
    }
    const bool mayAskOtherRegion = m_membership.isLeader(m_current) || now - *m_behindSince >= crossRegionDelay;
    if (!mayAskOtherRegion && !m_membership.isLocal(peer->peer, m_current)) {
        return;
    }
    m_requestedAt = now;
    m_output.send(peer->peer, ConfigurationRequest {revision()});
}

const PeerView *Distribution::choosePeer() const
{
    const auto knownRevision = std::max(revision(), m_candidateRevision);
    std::vector<const PeerView *> local;
    std::vector<const PeerView *> remote;
    for (const auto &[host, view] : m_membership.peers()) {
        if (view.revision > knownRevision && m_membership.findAnswering(host) != nullptr) {
            (m_membership.isLocal(view.peer, m_current) ? local : remote).push_back(&view);
        }
    }
    const auto &list = local.empty() ? remote : local;
    return list.empty() ? nullptr : list[m_random.nextBelow(list.size())];
}

void Distribution::onRequest(const Peer &from, const ConfigurationRequest &request)
{
    m_membership.peerHeard(from, request.knownRevision);
    if (request.knownRevision >= revision() || sendDeltas(from, request.knownRevision)) {
        return;
    }
    m_output.send(from, ConfigurationOffer {0, revision(), encodeSnapshot({*m_current, m_hash})});
}

bool Distribution::sendDeltas(const Peer &to, Revision knownRevision)
{
    if (knownRevision == 0 || m_recentDeltas.empty() || m_recentDeltas.front().revision > knownRevision + 1) {
        return false;
    }
    for (const auto &it : m_recentDeltas) {
        if (it.revision > knownRevision) {
            m_output.send(to, ConfigurationOffer {it.revision - 1, it.revision, it.bytes});
        }
    }
    return true;
}

void Distribution::onOffer(const Peer &from, const ConfigurationOffer &offer)
{
    m_membership.peerHeard(from, offer.revision);
    if (offer.revision <= revision()) {
        return;
    }
    if (offer.payload.empty()) {
        requestFromPeer();
        return;
    }
    if (offer.baseRevision != 0) {
        if (m_trusted && offer.baseRevision == revision() && offer.revision == offer.baseRevision + 1) {
            applyDelta(offer.revision, offer.payload);
        }
        return;
    }
    if (m_trusted) {
        applySnapshot(offer.payload);
    } else if (offer.revision > m_candidateRevision) {
        m_candidate = offer.payload;
        m_candidateRevision = offer.revision;
    }
}

void Distribution::adoptCandidate()
{
    const auto firstConnectedAt = m_membership.firstConnectedAt();
    const bool peersHaveReported = firstConnectedAt && m_clock.now() - *firstConnectedAt >= peerReportDelay;
    if (!m_candidate || !m_store.isTableDown() || !peersHaveReported) {
        return;
    }
    const auto candidate = std::exchange(m_candidate, std::nullopt);
    m_candidateRevision = 0;
    m_trusted = applySnapshot(*candidate);
}

} // namespace monsoonward
