#include "monsoonward/dispatch/streamranking.h"

#include "monsoonward/dispatch/texthash.h"

#include <algorithm>
#include <xxhash.h>

namespace monsoonward
{

namespace
{

const StreamPeer *peerAt(const std::vector<StreamPeer> &peers, const std::size_t *index)
{
    return index == nullptr ? nullptr : &peers[*index];
}

template<class Map, class Key>
const std::size_t *indexIn(const Map &map, const Key &key)
{
    const auto it = map.find(key);
    return it == map.end() ? nullptr : &it->second;
}

std::uint64_t weightOf(const StreamKey &stream, std::uint64_t hostHash)
{
    const std::uint64_t key[] {stream.high, stream.low, hostHash};
    return XXH3_64bits(key, sizeof key);
}

} // namespace

DaemonRun runOf(const StreamPeer &peer)
{
    const std::uint64_t key[] {hashOf(peer.host.text()), hashOf(peer.address.ip), peer.address.port, peer.incarnation};
    return XXH3_64bits(key, sizeof key);
}

StreamRanking::StreamRanking(const FleetView &fleet)
    : m_fleet(fleet)
    , m_ownHash(hashOf(fleet.own().text()))
{
}

PeerChanges StreamRanking::setPeers(std::vector<StreamPeer> peers)
{
    PeerChanges changes;
    const auto former = std::exchange(m_byRun, {});
    m_peers = std::move(peers);
    m_hashes.clear();
    m_byAddress.clear();
    m_isReporting.clear();
    for (std::size_t n = 0; n < m_peers.size(); ++n) {
        m_hashes.push_back(hashOf(m_peers[n].host.text()));
        m_byAddress[m_peers[n].address] = n;
        m_byRun[runOf(m_peers[n])] = n;
        if (former.count(runOf(m_peers[n])) == 0) {
            changes.added.push_back(m_peers[n]);
        }
    }
    for (const auto &it : former) {
        if (m_byRun.count(it.first) == 0) {
            changes.removed.push_back(it.first);
        }
    }
    return changes;
}

std::size_t StreamRanking::size() const
{
    return m_peers.size();
}

void StreamRanking::refreshReporting(TimePoint now) const
{
    if (!m_isReporting.empty() && now - m_reportingAt < maxReportingAge) {
        return;
    }
    m_reportingAt = now;
    m_isReporting.clear();
    for (const auto &it : m_peers) {
        m_isReporting.push_back(m_fleet.isReporting(it.host, now));
    }
}

std::vector<StreamPeer> StreamRanking::ranked(const StreamKey &stream, std::size_t count, TimePoint now) const
{
    struct Rank
    {
        bool isSilent;
        std::uint64_t weight;
        std::size_t index;
        bool operator<(const Rank &other) const
        {
            return std::tie(isSilent, weight, index) < std::tie(other.isSilent, other.weight, other.index);
        }
    };
    refreshReporting(now);
    std::vector<Rank> ranks;
    ranks.reserve(m_peers.size());
    for (std::size_t n = 0; n < m_peers.size(); ++n) {
        ranks.push_back({!m_isReporting[n], weightOf(stream, m_hashes[n]), n});
    }
    const auto last = ranks.begin() + static_cast<std::ptrdiff_t>(std::min(count, ranks.size()));
    std::partial_sort(ranks.begin(), last, ranks.end());
    std::vector<StreamPeer> first;
    std::transform(ranks.begin(), last, std::back_inserter(first), [&](const Rank &it) { return m_peers[it.index]; });
    return first;
}

std::uint64_t StreamRanking::weight(const StreamKey &stream, const StreamPeer &peer)
{
    return weightOf(stream, hashOf(peer.host.text()));
}

std::size_t StreamRanking::countBefore(const StreamKey &stream, const std::vector<DaemonRun> &runs, TimePoint now) const
{
    refreshReporting(now);
    const bool isAnyReporting = std::find(m_isReporting.begin(), m_isReporting.end(), true) != m_isReporting.end();
    return static_cast<std::size_t>(std::count_if(runs.begin(), runs.end(), [&](DaemonRun it) {
        const auto *index = indexIn(m_byRun, it);
        return index != nullptr && (m_isReporting[*index] || !isAnyReporting)
            && weightOf(stream, m_hashes[*index]) < weightOf(stream, m_ownHash);
    }));
}

const StreamPeer *StreamRanking::findAt(const Address &address) const
{
    return peerAt(m_peers, indexIn(m_byAddress, address));
}

const StreamPeer *StreamRanking::find(DaemonRun run) const
{
    return peerAt(m_peers, indexIn(m_byRun, run));
}

} // namespace monsoonward
