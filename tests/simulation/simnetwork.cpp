#include "simnetwork.h"

namespace monsoonward
{

namespace
{

constexpr Duration sameRegionDelay = std::chrono::microseconds(500);
constexpr Duration crossRegionDelay = std::chrono::milliseconds(6);
constexpr Duration handshakeDelay = std::chrono::milliseconds(20);
constexpr Duration reconnectInterval = std::chrono::milliseconds(250);
constexpr Duration cutDetectionDelay = std::chrono::milliseconds(1500);
constexpr Duration cutDetectionJitter = std::chrono::milliseconds(1000);
constexpr Duration maxReorderDelay = std::chrono::milliseconds(50);

} // namespace

SimNetwork::SimNetwork(EventQueue &queue, Random &random)
    : m_queue(queue)
    , m_random(random)
{
}

void SimNetwork::add(const ProcessPtr &process, const RegionName &region)
{
    const auto &host = process->own().host;
    m_processes[host] = process;
    m_regions[host] = region;
    for (const auto &[name, other] : m_processes) {
        if (name != host) {
            connectSoon(pairOf(host, name), handshakeDelay);
        }
    }
}

void SimNetwork::remove(const ProcessPtr &process)
{
    const auto host = process->own().host;
    m_processes.erase(host);
    for (auto &[pair, connection] : m_connections) {
        if (pair.a != host && pair.b != host) {
            continue;
        }
        const std::size_t other = pair.a == host ? 1 : 0;
        connection.up[1 - other] = false;
        const auto &name = other == 0 ? pair.a : pair.b;
        const auto number = connection.number;
        m_queue.after(delayOf(host, name), [this, pair = pair, other, number] {
            if (m_connections[pair].number == number) {
                markDown(pair, other);
            }
        });
    }
}

void SimNetwork::setLink(const HostName &from, const HostName &to, const LinkFault &fault)
{
    const bool wasCut = faultOf(from, to).cut;
    m_faults[{from, to}] = fault;
    m_faults[{to, from}] = fault;
    if (wasCut == fault.cut) {
        return;
    }
    const auto pair = pairOf(from, to);
    const auto cutChanges = ++m_connections[pair].cutChanges;
    if (!fault.cut) {
        connectSoon(pair, reconnectInterval);
        return;
    }
    for (std::size_t side = 0; side < 2; ++side) {
        const Duration spread(static_cast<Duration::rep>(m_random.nextBelow(cutDetectionJitter.count())));
        m_queue.after(cutDetectionDelay + spread, [this, pair, side, cutChanges] {
            if (m_connections[pair].cutChanges == cutChanges) {
                markDown(pair, side);
            }
        });
    }
}

void SimNetwork::setBlocked(const HostName &from, const HostName &to, bool blocked)
{
    m_blocked[{from, to}] = blocked;
}

void SimNetwork::setReorderShare(double share)
{
    m_reorderShare = share;
}

void SimNetwork::send(const Peer &from, const Peer &to, const Message &message)
{
    transmit(from, to, [from, message](SimProcess &receiver) { receiver.message(from, message); });
}

void SimNetwork::closeStream(const Peer &from, const Peer &to, const RequestId &id, const ClaimId &claim)
{
    transmit(from, to, [from, id, claim](SimProcess &receiver) { receiver.streamLost(from, id, claim); });
}

SimNetwork::Pair SimNetwork::pairOf(const HostName &a, const HostName &b)
{
    return a < b ? Pair {a, b} : Pair {b, a};
}

bool SimNetwork::mayConnect(const SimProcess &a, const SimProcess &b)
{
    return a.role() == HostRole::Entry || b.role() == HostRole::Entry;
}

SimNetwork::ProcessPtr SimNetwork::find(const Peer &peer) const
{
    const auto it = m_processes.find(peer.host);
    return it != m_processes.end() && it->second->own() == peer ? it->second : nullptr;
}

LinkFault SimNetwork::faultOf(const HostName &from, const HostName &to) const
{
    const auto it = m_faults.find({from, to});
    return it == m_faults.end() ? LinkFault {} : it->second;
}

Duration SimNetwork::delayOf(const HostName &from, const HostName &to)
{
    const auto base = m_regions[from] == m_regions[to] ? sameRegionDelay : crossRegionDelay;
    const auto jitter = Duration(static_cast<Duration::rep>(m_random.nextBelow(base.count())));
    return base + jitter + faultOf(from, to).delay;
}

void SimNetwork::connectSoon(const Pair &pair, Duration delay)
{
    m_queue.after(delay, [this, pair] { tryConnect(pair); });
}

void SimNetwork::tryConnect(const Pair &pair)
{
    const auto a = m_processes.find(pair.a);
    const auto b = m_processes.find(pair.b);
    if (a == m_processes.end() || b == m_processes.end() || !mayConnect(*a->second, *b->second)) {
        return;
    }
    auto &connection = m_connections[pair];
    const bool samePeers = connection.peers[0] == a->second->own() && connection.peers[1] == b->second->own();
    if (samePeers && connection.up[0] && connection.up[1]) {
        return;
    }
    const bool blocked = m_blocked[{pair.a, pair.b}] || m_blocked[{pair.b, pair.a}];
    if (faultOf(pair.a, pair.b).cut || blocked || a->second->paused() || b->second->paused()) {
        connectSoon(pair, reconnectInterval);
        return;
    }
    markDown(pair, 0);
    markDown(pair, 1);
    ++connection.number;
    connection.peers[0] = a->second->own();
    connection.peers[1] = b->second->own();
    connection.up[0] = true;
    connection.up[1] = true;
    const auto notifyUp = [](const ProcessPtr &process, const ProcessPtr &other) {
        process->post({}, [process, peer = other->own(), role = other->role()] { process->peerUp(peer, role); });
    };
    notifyUp(a->second, b->second);
    notifyUp(b->second, a->second);
}

void SimNetwork::markDown(const Pair &pair, std::size_t side)
{
    auto &connection = m_connections[pair];
    if (!connection.up[side]) {
        return;
    }
    connection.up[side] = false;
    if (const auto process = find(connection.peers[side])) {
        process->post({}, [process, peer = connection.peers[1 - side]] { process->peerDown(peer); });
    }
    connectSoon(pair, reconnectInterval);
}

void SimNetwork::transmit(const Peer &from, const Peer &to, const std::function<void(SimProcess &)> &deliver)
{
    const auto pair = pairOf(from.host, to.host);
    const auto &connection = m_connections[pair];
    const std::size_t side = pair.a == from.host ? 0 : 1;
    const bool usable = connection.up[side] && connection.peers[side] == from && connection.peers[1 - side] == to;
    const auto fault = faultOf(from.host, to.host);
    if (!usable || fault.cut || m_blocked[{from.host, to.host}] || m_random.nextDouble() < fault.loss) {
        return;
    }
    const unsigned copies = m_random.nextDouble() < fault.duplicate ? 2 : 1;
    for (unsigned n = 0; n < copies; ++n) {
        auto delay = delayOf(from.host, to.host);
        if (m_random.nextDouble() < m_reorderShare) {
            delay += Duration(static_cast<Duration::rep>(m_random.nextBelow(maxReorderDelay.count())));
        } else {
            auto &last = m_lastDelivery[{from.host, to.host}];
            last = std::max(last, m_queue.now() + delay);
            delay = last - m_queue.now();
        }
        deliverAfter(delay, from, to, connection.number, deliver);
    }
}

void SimNetwork::deliverAfter(Duration delay,
                              const Peer &from,
                              const Peer &to,
                              std::uint64_t connection,
                              const std::function<void(SimProcess &)> &deliver)
{
    const auto pair = pairOf(from.host, to.host);
    const std::size_t side = pair.a == to.host ? 0 : 1;
    m_queue.after(delay, [this, pair, side, connection, from, to, deliver] {
        const auto &now = m_connections[pair];
        const bool arrives = now.number == connection && now.up[side] && !faultOf(from.host, to.host).cut
            && !m_blocked[{from.host, to.host}];
        const auto receiver = find(to);
        if (arrives && receiver) {
            receiver->post({}, [receiver, deliver] { deliver(*receiver); });
        }
    });
}

} // namespace monsoonward
