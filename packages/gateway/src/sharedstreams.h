#pragma once

#include "gatewaymetrics.h"
#include "peersocket.h"

#include <monsoonward/dispatch/dispatch.h>

#include <boost/asio/steady_timer.hpp>

namespace monsoonward
{

/// @brief The directory of streams with what it needs to work: messages to other gateways, and a timer. Messages to one
/// gateway that follow from one event share datagrams.
class SharedStreams : private StreamMessenger
{
public:
    /// @param fleet, peers, metrics must outlive this object
    SharedStreams(boost::asio::io_context &io,
                  const Clock &clock,
                  const FleetView &fleet,
                  PeerSocket &peers,
                  GatewayMetrics &metrics);

    void setPeers(std::vector<StreamPeer> peers);
    /// The first event of a stream has arrived and hasn't been passed on yet.
    /// @param left until the time limit of the caller
    /// @return the gateways that were told
    std::vector<StreamPeer> begin(const StreamKey &stream, const EngineRecord &engine, Duration left);
    /// An engine registered with another build under its name.
    /// @param readAsOf when the former registration was last known to be the newest one
    /// @return number of streams that are doubtful now
    std::size_t buildChanged(const EngineRecord &former, TimePoint readAsOf);
    /// An engine may have started again with another build at @p since or later.
    /// @return number of streams that began there since, and are doubtful now
    std::size_t doubt(const EngineRecord &engine, TimePoint since);
    /// This gateway will end: has what it knows confirmed by other gateways.
    void leave();
    /// @return whether streams wait to be confirmed by others since leave()
    bool isHandingOver() const;
    /// @param found called once, at once or when other gateways have answered
    void find(const StreamKey &stream, StreamDirectory::Found found);
    /// @return what this gateway knows
    std::optional<StreamOrigin> findHere(const StreamKey &stream) const;
    /// Errors: Invalid if the datagram is malformed.
    Result<void> receive(const PeerSocket::Datagram &datagram);
    /// Drops expired streams; to be called regularly.
    void expire();
    const StreamDirectory &directory() const;

private:
    void send(const Address &to, const StreamMessage &message) override;
    /// Sends what waits to be sent, and sets the timer.
    void finishEvent();
    void armTimer();

    const Clock &m_clock;
    PeerSocket &m_peers;
    GatewayMetrics &m_metrics;
    StreamDirectory m_directory;
    std::map<Address, std::vector<std::uint8_t>> m_unsent; // datagrams to be sent by finishEvent()
    boost::asio::steady_timer m_timer;
    std::optional<TimePoint> m_armedFor;
};

} // namespace monsoonward
