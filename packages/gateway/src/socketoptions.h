#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace monsoonward
{

/// Sends small pieces at once, and lets the kernel end a connection whose other side has fallen silent.
void setSocketOptions(boost::asio::ip::tcp::socket &socket);

} // namespace monsoonward
