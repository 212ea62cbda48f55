#include "sharedstreams.h"

#include "streamcodec.h"

namespace monsoonward
{

namespace
{

constexpr std::size_t maxDatagramBytes = 1200; // fits into one packet of common networks

const char *textOf(StreamMessage::Kind kind)
{
    switch (kind) {
    case StreamMessage::Kind::Tell:
        return "tell";
    case StreamMessage::Kind::Ask:
        return "ask";
    case StreamMessage::Kind::Known:
        return "known";
    case StreamMessage::Kind::Unknown:
        break;
    }
    return "unknown";
}

} // namespace

SharedStreams::SharedStreams(
    boost::asio::io_context &io, const Clock &clock, const FleetView &fleet, PeerSocket &peers, GatewayMetrics &metrics)
    : m_clock(clock)
    , m_peers(peers)
    , m_metrics(metrics)
    , m_directory(fleet, *this)
    , m_timer(io)
{
}

void SharedStreams::setPeers(std::vector<StreamPeer> peers)
{
    m_directory.setPeers(std::move(peers), m_clock.now());
    finishEvent();
}

std::vector<StreamPeer> SharedStreams::begin(const StreamKey &stream, const EngineRecord &engine, Duration left)
{
    auto told = m_directory.begin(stream, engine, left, m_clock.now());
    finishEvent();
    return told;
}

std::size_t SharedStreams::buildChanged(const EngineRecord &former, TimePoint readAsOf)
{
    const auto doubtful = m_directory.buildChanged(former, readAsOf, m_clock.now());
    finishEvent();
    return doubtful;
}

std::size_t SharedStreams::doubt(const EngineRecord &engine, TimePoint since)
{
    const auto doubtful = m_directory.doubt(engine, since, m_clock.now());
    finishEvent();
    return doubtful;
}

void SharedStreams::leave()
{
    m_directory.leave(m_clock.now());
    finishEvent();
}

bool SharedStreams::isHandingOver() const
{
    return m_directory.isHandingOver();
}

void SharedStreams::find(const StreamKey &stream, StreamDirectory::Found found)
{
    m_directory.find(stream, std::move(found), m_clock.now());
    finishEvent();
}

std::optional<StreamOrigin> SharedStreams::findHere(const StreamKey &stream) const
{
    return m_directory.findHere(stream, m_clock.now());
}

Result<void> SharedStreams::receive(const PeerSocket::Datagram &datagram)
{
    BOOST_OUTCOME_TRY(messages, decodeStreamMessages(datagram.bytes, datagram.size));
    for (const auto &it : messages) {
        m_directory.receive(datagram.sender, it, m_clock.now());
    }
    finishEvent();
    return boost::outcome_v2::success();
}

void SharedStreams::expire()
{
    m_directory.tick(m_clock.now());
    finishEvent();
}

const StreamDirectory &SharedStreams::directory() const
{
    return m_directory;
}

void SharedStreams::send(const Address &to, const StreamMessage &message)
{
    m_metrics.streamMessageSent(textOf(message.kind));
    const auto bytes = encodeStreamMessage(message);
    auto &datagram = m_unsent[to];
    if (datagram.size() + bytes.size() > maxDatagramBytes) {
        m_peers.send(datagram, to);
        datagram.clear();
    }
    datagram.insert(datagram.end(), bytes.begin(), bytes.end());
}

void SharedStreams::finishEvent()
{
    for (const auto &[to, datagram] : std::exchange(m_unsent, {})) {
        m_peers.send(datagram, to);
    }
    armTimer();
}

void SharedStreams::armTimer()
{
    const auto next = m_directory.nextTickAt();
    if (next == m_armedFor) {
        return;
    }
    m_armedFor = next;
    m_timer.cancel();
    if (!next) {
        return;
    }
    m_timer.expires_after(std::max(*next - m_clock.now(), Duration::zero()));
    m_timer.async_wait([this](const boost::system::error_code &ec) {
        if (!ec) {
            m_armedFor.reset();
            m_directory.tick(m_clock.now());
            finishEvent();
        }
    });
}

} // namespace monsoonward
