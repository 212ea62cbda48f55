#pragma once

#include <monsoonward/values/values.h>

#include <boost/asio/ip/tcp.hpp>

namespace monsoonward
{

/// Silence after which an engine or the store is given up: about ten round trips between regions, with a lost packet
/// sent again.
constexpr Duration serverTimeout = std::chrono::milliseconds(1500);

/// Sends small pieces at once, and lets the kernel end a connection whose other side has fallen silent.
/// @param ackTimeout how long sent bytes may stay unacknowledged, or the other side may take nothing
void setSocketOptions(boost::asio::ip::tcp::socket &socket, Duration ackTimeout);

} // namespace monsoonward
