#pragma once

#include <monsoonward/values/values.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <functional>
#include <vector>

namespace monsoonward
{

/// @brief The datagrams between gateways: one socket for all kinds of messages. They may get lost.
class PeerSocket
{
public:
    /// @brief One datagram that has arrived.
    struct Datagram
    {
        const std::uint8_t *bytes = nullptr;
        std::size_t size = 0;
        Address sender;
    };

    explicit PeerSocket(boost::asio::io_context &io);
    PeerSocket(const PeerSocket &) = delete;
    PeerSocket &operator=(const PeerSocket &) = delete;

    /// Binds the socket and starts to receive. Errors: Unavailable if the address can't be bound.
    /// @param received called for each datagram; its bytes are valid during the call
    Result<void> start(const Address &address, std::function<void(const Datagram &)> received);
    /// Sends a datagram. One that can't be sent counts as lost: a gateway that isn't heard is logged as silent, and
    /// rows with malformed addresses are rejected when they are read. Does nothing before start().
    void send(const std::vector<std::uint8_t> &bytes, const Address &to);

private:
    void receive();

    boost::asio::ip::udp::socket m_socket;
    boost::asio::ip::udp::endpoint m_sender;
    std::array<std::uint8_t, 65536> m_datagram {};
    std::function<void(const Datagram &)> m_received;
};

} // namespace monsoonward
