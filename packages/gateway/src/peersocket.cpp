#include "peersocket.h"

namespace monsoonward
{

using boost::asio::ip::udp;
using boost::system::error_code;

PeerSocket::PeerSocket(boost::asio::io_context &io)
    : m_socket(io)
{
}

Result<void> PeerSocket::start(const Address &address, std::function<void(const Datagram &)> received)
{
    error_code ec;
    const udp::endpoint endpoint(boost::asio::ip::make_address(address.ip, ec), address.port);
    if (!ec) {
        m_socket.open(endpoint.protocol(), ec);
    }
    if (!ec) {
        m_socket.bind(endpoint, ec);
    }
    if (ec) {
        return Error {ErrorCode::Unavailable, "bind " + address.ip + ": " + ec.message()};
    }
    m_socket.non_blocking(true, ec);
    m_received = std::move(received);
    receive();
    return boost::outcome_v2::success();
}

void PeerSocket::receive()
{
    m_socket.async_receive_from(
        boost::asio::buffer(m_datagram), m_sender, [this](const error_code &ec, std::size_t size) {
            if (ec == boost::asio::error::operation_aborted) {
                return;
            }
            if (!ec) {
                m_received({m_datagram.data(), size, {m_sender.address().to_string(), m_sender.port()}});
            }
            receive();
        });
}

void PeerSocket::send(const std::vector<std::uint8_t> &bytes, const Address &to)
{
    error_code ec;
    const auto ip = boost::asio::ip::make_address(to.ip, ec);
    if (!ec && m_socket.is_open()) {
        m_socket.send_to(boost::asio::buffer(bytes), {ip, to.port}, 0, ec);
    }
}

} // namespace monsoonward
