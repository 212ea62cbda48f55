#pragma once

#include "gatewaycore.h"

#include <boost/asio/ip/udp.hpp>

namespace monsoonward
{

/// @brief Exchanges load reports with the other gateways by datagrams: a lost one is replaced by the next.
class LoadReports
{
public:
    /// @param life of this process
    LoadReports(GatewayCore &core, std::uint64_t life);
    LoadReports(const LoadReports &) = delete;
    LoadReports &operator=(const LoadReports &) = delete;

    /// Errors: Unavailable when the address can't be bound.
    Result<void> start();
    void setPeers(const std::vector<Address> &peers);

private:
    void receive();
    void received(std::size_t size);
    void tick();
    void send();

    GatewayCore &m_core;
    std::uint64_t m_life;
    std::uint64_t m_number = 0;
    boost::asio::ip::udp::socket m_socket;
    boost::asio::ip::udp::endpoint m_sender;
    std::array<std::uint8_t, 65536> m_bytes {};
    boost::asio::steady_timer m_timer;
    std::vector<boost::asio::ip::udp::endpoint> m_peers;
};

/// @return the report as bytes
std::vector<std::uint8_t> encodeReport(const LoadReport &report);
/// Errors: Invalid.
Result<LoadReport> decodeReport(const std::uint8_t *bytes, std::size_t size);

} // namespace monsoonward
