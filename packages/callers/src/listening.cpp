#include "monsoonward/callers/listening.h"

namespace monsoonward
{

using boost::asio::ip::tcp;

Result<void> listenOn(tcp::acceptor &acceptor, const Address &address)
{
    constexpr int backlog = 1024; // enough for a burst of new connections
    boost::system::error_code ec;
    const tcp::endpoint endpoint(boost::asio::ip::make_address(address.ip, ec), address.port);
    if (!ec) {
        acceptor.open(endpoint.protocol(), ec);
    }
    if (!ec) {
        acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    }
    if (!ec) {
        acceptor.bind(endpoint, ec);
    }
    if (!ec) {
        acceptor.listen(backlog, ec);
    }
    if (ec) {
        return Error {ErrorCode::Unavailable,
                      "listen on " + address.ip + ":" + std::to_string(address.port) + ": " + ec.message()};
    }
    return boost::outcome_v2::success();
}

} // namespace monsoonward
