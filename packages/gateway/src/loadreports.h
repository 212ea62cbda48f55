#pragma once

#include "gatewaycore.h"

#include <boost/asio/ip/udp.hpp>

#include <functional>

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
    /// @param onKnowledge called with what another gateway has read from the store, after its full report was stored
    LoadReports(GatewayCore &core, std::uint64_t incarnation, std::function<void(const StoreKnowledge &)> onKnowledge);
    LoadReports(const LoadReports &) = delete;
    LoadReports &operator=(const LoadReports &) = delete;

    /// Binds the UDP socket and starts to send and receive. Errors: Unavailable if the address can't be bound.
    Result<void> start();
    /// Sends a full report at once, in addition to the regular ones.
    void sendFullReport();
    void setPeers(const std::vector<ReportPeer> &peers);

private:
    void receive();
    void datagramReceived(std::size_t size);
    void tick();
    void send(bool isLoadOnly);
    void sendTo(const std::vector<boost::asio::ip::udp::endpoint> &peers, const LoadReport &report);

    GatewayCore &m_core;
    std::uint64_t m_incarnation;
    std::function<void(const StoreKnowledge &)> m_onKnowledge;
    std::uint64_t m_lastSequenceNumber = 0;
    boost::asio::ip::udp::socket m_socket;
    boost::asio::ip::udp::endpoint m_sender;
    std::array<std::uint8_t, 65536> m_datagram {};
    boost::asio::steady_timer m_timer;
    std::vector<boost::asio::ip::udp::endpoint> m_localPeers;
    std::vector<boost::asio::ip::udp::endpoint> m_remotePeers;
    TimePoint m_startedAt;
    TimePoint m_lastFullReportAt;
};

} // namespace monsoonward
