#pragma once

#include <monsoonward/values/values.h>

#include <boost/asio/ip/tcp.hpp>

namespace monsoonward
{

/// Unresponsive time after which a connection to an engine or the store is closed: about ten round trips between
/// regions, which leaves time to retransmit a lost packet.
constexpr Duration serverTimeout = std::chrono::milliseconds(1500);

/// Disables Nagle's algorithm and enables keep-alive probes and a user timeout, so that the kernel closes connections
/// to unresponsive peers.
/// @param ackTimeout how long sent data may stay unacknowledged, or the peer's receive window may stay closed
void setSocketOptions(boost::asio::ip::tcp::socket &socket, Duration ackTimeout);

/// Bounds what the kernel holds unread of a caller: it counts toward the memory of the process.
void limitReceiveBuffer(boost::asio::ip::tcp::socket &socket);

} // namespace monsoonward
