#pragma once

#include "gatewaycore.h"

#include <boost/asio/ip/udp.hpp>

namespace monsoonward
{

/// @brief Another gateway that receives load reports.
struct ReportPeer
{
    Address address;
    bool isSameRegion = false; ///< a peer in the same region uses the same engines, and traffic to it is cheap
    MONSOONWARD_FIELDS(address, isSameRegion)
};

/// @brief Exchanges load reports with the other gateways over UDP. A lost report is superseded by the next one. Full
/// reports go to all gateways, to many remote ones through one of them. In the interval between two full reports,
/// gateways of the same region get load-only reports, which hold just the requests in progress.
class LoadReports
{
public:
    /// @param incarnation identifies this run of the process
    LoadReports(GatewayCore &core, std::uint64_t incarnation);
    LoadReports(const LoadReports &) = delete;
    LoadReports &operator=(const LoadReports &) = delete;

    /// Binds the UDP socket and starts to send and receive. Errors: Unavailable if the address can't be bound.
    Result<void> start();
    void setPeers(const std::vector<ReportPeer> &peers);

private:
    void receive();
    void datagramReceived(std::size_t size);
    void tick();
    void send(bool isLoadOnly);
    void sendTo(const std::vector<boost::asio::ip::udp::endpoint> &peers, const LoadReport &report);

    GatewayCore &m_core;
    std::uint64_t m_incarnation;
    std::uint64_t m_lastSequenceNumber = 0;
    boost::asio::ip::udp::socket m_socket;
    boost::asio::ip::udp::endpoint m_sender;
    std::array<std::uint8_t, 65536> m_datagram {};
    boost::asio::steady_timer m_timer;
    std::vector<boost::asio::ip::udp::endpoint> m_localPeers;
    std::vector<boost::asio::ip::udp::endpoint> m_remotePeers;
    TimePoint m_lastFullReportAt;
};

/// @return the report as MessagePack
std::vector<std::uint8_t> encodeReport(const LoadReport &report);
/// Errors: Invalid.
Result<LoadReport> decodeReport(const std::uint8_t *bytes, std::size_t size);

} // namespace monsoonward
