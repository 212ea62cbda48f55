#pragma once

#include <monsoonward/values/values.h>

#include <boost/asio/ip/tcp.hpp>

namespace monsoonward
{

/// Opens, binds and listens on @p address. Errors: Unavailable, with the address.
Result<void> listenOn(boost::asio::ip::tcp::acceptor &acceptor, const Address &address);

} // namespace monsoonward
