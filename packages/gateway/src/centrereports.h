#pragma once

#include "centrecodec.h"
#include "memberlist.h"
#include "rejectedmessages.h"

#include <functional>

namespace monsoonward
{

/// Format of centre reports that a gateway states in its registration; 0 if it understands none.
constexpr std::uint32_t centreReportFormat = 1;

/// @brief Exchanges load reports through the collectors of data centres. In use while all registered gateways
/// understand centre reports and the settings and the size of the fleet ask for it.
class CentreReports
{
public:
    /// @param onKnowledge called with what the gateways of a data centre have read from the store
    CentreReports(GatewayCore &core,
                  std::uint64_t incarnation,
                  RejectedMessages &rejected,
                  std::function<void(const StoreKnowledge &)> onKnowledge);
    CentreReports(const CentreReports &) = delete;
    CentreReports &operator=(const CentreReports &) = delete;

    void setMembers(const std::vector<MemberRecord> &members);
    /// @return whether reports go through collectors
    bool isInUse() const;
    Duration interval() const;
    Duration silenceTimeout() const;
    /// Sends this gateway's full report to the collectors, and that of the data centre if it is one of them.
    void send(LoadReport own);
    /// Another gateway's report has arrived directly.
    void addReport(const LoadReport &report);
    /// Another gateway has sent a centre report.
    void receive(const PeerSocket::Datagram &datagram);
    /// @return this gateway's position among the collectors of its data centre; nothing if it isn't one
    std::optional<std::size_t> position() const;

private:
    void collectAndSend();
    CrashReport takeCrashes(TimePoint now);
    void apply(const CentreReport &report, const Address &sender, bool isOwn);
    void sendTo(const std::vector<HostName> &hosts, const std::vector<std::uint8_t> &bytes);

    GatewayCore &m_core;
    std::uint64_t m_incarnation;
    RejectedMessages &m_rejected;
    std::function<void(const StoreKnowledge &)> m_onKnowledge;
    ReportRoutes m_routes;
    CentreCollector m_collector;
    std::map<HostName, Address> m_addresses;
    bool m_isInUse = false;
    std::optional<std::size_t> m_position;
    std::uint64_t m_lastSequenceNumber = 0;
    TimePoint m_sentAt;
    std::vector<std::pair<TimePoint, CrashReport>> m_crashes; // of other gateways, since the last centre report
    std::int64_t m_sentProofMs = 0; // the proof in the last centre report
};

} // namespace monsoonward
