#pragma once

#include "gatewaycore.h"

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

/// @brief Exchanges load reports with the other gateways. A lost report is superseded by the next one. Full
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

    /// Starts to send reports.
    void start();
    /// Another gateway has sent a datagram.
    void receive(const PeerSocket::Datagram &datagram);
    /// Sends a full report at once, in addition to the regular ones.
    void sendFullReport();
    void setPeers(const std::vector<ReportPeer> &peers);

private:
    void tick();
    void send(bool isLoadOnly);
    LoadReport makeReport();
    void addState(LoadReport &report) const;
    void sendTo(const std::vector<Address> &peers, const LoadReport &report);

    GatewayCore &m_core;
    std::uint64_t m_incarnation;
    std::function<void(const StoreKnowledge &)> m_onKnowledge;
    std::uint64_t m_lastSequenceNumber = 0;
    boost::asio::steady_timer m_timer;
    std::vector<Address> m_localPeers;
    std::vector<Address> m_remotePeers;
    TimePoint m_startedAt;
    TimePoint m_lastFullReportAt;
};

} // namespace monsoonward
