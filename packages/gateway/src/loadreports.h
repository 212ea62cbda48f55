#pragma once

#include "gatewaycore.h"

#include <boost/asio/ip/udp.hpp>

namespace monsoonward
{

/// @brief Another gateway that gets reports.
struct ReportPeer
{
    Address address;
    bool isSameRegion = false; ///< in the same region: it sends to the same engines, and bytes to it are cheap
    MONSOONWARD_FIELDS(address, isSameRegion)
};

/// @brief Exchanges load reports with the other gateways by datagrams: a lost one is replaced by the next. Whole
/// reports go to all; between them near gateways get short ones, which tell of requests only.
class LoadReports
{
public:
    /// @param life of this process
    LoadReports(GatewayCore &core, std::uint64_t incarnation);
    LoadReports(const LoadReports &) = delete;
    LoadReports &operator=(const LoadReports &) = delete;

    /// Errors: Unavailable when the address can't be bound.
    Result<void> start();
    void setPeers(const std::vector<ReportPeer> &peers);

private:
    void receive();
    void datagramReceived(std::size_t size);
    void tick();
    void send(bool isShort);
    void sendTo(const std::vector<boost::asio::ip::udp::endpoint> &peers, const LoadReport &report);

    GatewayCore &m_core;
    std::uint64_t m_incarnation;
    std::uint64_t m_lastReportNumber = 0;
    boost::asio::ip::udp::socket m_socket;
    boost::asio::ip::udp::endpoint m_sender;
    std::array<std::uint8_t, 65536> m_datagram {};
    boost::asio::steady_timer m_timer;
    std::vector<boost::asio::ip::udp::endpoint> m_localPeers;
    std::vector<boost::asio::ip::udp::endpoint> m_remotePeers;
    TimePoint m_lastFullReportAt; // when the last whole report was sent
};

/// @return the report as bytes
std::vector<std::uint8_t> encodeReport(const LoadReport &report);
/// Errors: Invalid.
Result<LoadReport> decodeReport(const std::uint8_t *bytes, std::size_t size);

} // namespace monsoonward
