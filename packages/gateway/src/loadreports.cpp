#include "loadreports.h"

#include "enginestatements.h"
#include "reportcodec.h"

namespace monsoonward
{

using boost::system::error_code;

namespace
{

constexpr Duration minInterval = std::chrono::milliseconds(50); // only a few requests arrive within it
constexpr Duration maxInterval = std::chrono::milliseconds(400); // three reports fit into FleetView::silenceTimeout
constexpr int peersAtMaxInterval =
    100; // up to this many peers the interval is at most maxInterval; with more, it grows in proportion
constexpr std::size_t maxDirectRemotePeers =
    16; // with more, one of them in turn forwards the reports, to save traffic on the shared link
constexpr int peersAtMinInterval =
    5; // with more, the interval grows in proportion, so that the rate of full reports stays constant
constexpr int localPeersAtMinLoadInterval = 10; // the same for load-only reports, which are a quarter of the size

/// @param peersAtMin number of peers up to which the shortest interval is used
/// @return the interval between reports to @p peers gateways
Duration intervalFor(std::size_t peers, int peersAtMin)
{
    const auto n = std::max(static_cast<int>(peers), peersAtMin);
    const Duration maximum = maxInterval * std::max(n, peersAtMaxInterval) / peersAtMaxInterval;
    return std::min<Duration>(minInterval * n / peersAtMin, maximum);
}

} // namespace

LoadReports::LoadReports(GatewayCore &core,
                         std::uint64_t incarnation,
                         std::function<void(const StoreKnowledge &)> onKnowledge)
    : m_core(core)
    , m_incarnation(incarnation)
    , m_onKnowledge(std::move(onKnowledge))
    , m_rejected(core)
    , m_centreReports(core, incarnation, m_rejected, m_onKnowledge)
    , m_timer(core.io)
{
}

void LoadReports::start()
{
    m_startedAt = m_core.clock.now();
    tick();
}

void LoadReports::setMembers(const std::vector<MemberRecord> &members)
{
    m_localPeers.clear();
    m_remotePeers.clear();
    for (const auto &it : members) {
        if (it.host != m_core.settings.host) {
            const bool isSameRegion = m_core.settings.topology.distanceTo(it.dataCentre) != Distance::OtherRegion;
            (isSameRegion ? m_localPeers : m_remotePeers).push_back(it.peerAddress);
        }
    }
    m_centreReports.setMembers(members);
    if (m_centreReports.isInUse()) {
        m_core.fleet.setReportInterval(m_centreReports.interval() * 2); // to the collector and on from there
        m_core.fleet.setSilenceTimeout(m_centreReports.silenceTimeout());
        return;
    }
    // In large fleets the silence timeout grows with the interval: at least as many reports fit into it as at
    // maxInterval.
    const auto interval = intervalFor(m_localPeers.size() + m_remotePeers.size(), peersAtMinInterval);
    m_core.fleet.setReportInterval(interval);
    m_core.fleet.setSilenceTimeout(
        std::max<Duration>(FleetView::silenceTimeout, interval * (FleetView::silenceTimeout / maxInterval + 1)));
}

const CentreReports &LoadReports::centreReports() const
{
    return m_centreReports;
}

void LoadReports::reject(std::string_view what, const Address &sender, const std::string &reason)
{
    m_rejected.reject(what, sender, reason);
}

void LoadReports::receive(const PeerSocket::Datagram &datagram)
{
    if (isCentreMessage(datagram.bytes, datagram.size)) {
        m_centreReports.receive(datagram);
        return;
    }
    const auto report = decodeReport(datagram.bytes, datagram.size);
    if (!report) {
        reject("report-rejected", datagram.sender, report.error().message);
        return;
    }
    if (report.value().shouldForward) {
        auto forwarded = report.value();
        forwarded.shouldForward = false;
        sendTo(m_localPeers, forwarded);
    }
    if (report.value().asksForReport) {
        auto answer = makeReport();
        addState(answer);
        sendTo({datagram.sender}, answer);
    }
    apply(report.value());
    m_centreReports.addReport(report.value());
}

void LoadReports::apply(const LoadReport &report)
{
    const auto now = m_core.clock.now();
    const auto update = m_core.fleet.addReport(report, now);
    if (!update) {
        return;
    }
    const auto reportingFraction = m_core.fleet.reportingFraction(now);
    for (const auto &[customer, units] : update->spent) {
        m_core.rateLimiter.recordRemoteSpending(customer, units, reportingFraction, now);
    }
    m_core.crashSuspects.addReport(report.crashes, now);
    recordReportedRateLimits(m_core, report.limits, report.host);
    m_core.rollouts.addReports(report.host, report.rollouts);
    m_onKnowledge(report.knowledge);
    if (update->wasSilent) {
        m_core.log.write(
            Event::GatewayHeard, Severity::Info, "gateway-heard", {{"peer", std::string_view(report.host.text())}});
    }
}

void LoadReports::tick()
{
    const auto now = m_core.clock.now();
    const auto fullInterval = intervalFor(m_localPeers.size() + m_remotePeers.size(), peersAtMinInterval);
    const auto loadOnlyInterval = std::min(fullInterval, intervalFor(m_localPeers.size(), localPeersAtMinLoadInterval));
    const bool isFullReportDue = now - m_lastFullReportAt + loadOnlyInterval / 2 >= fullInterval;
    m_core.fleet.expire(now);
    m_core.peerSurvey.isComplete(m_core.fleet, now); // ends it in time, also while the configuration can't be read
    if (m_centreReports.isInUse()) {
        sendFullReport();
    } else {
        send(!isFullReportDue && m_core.peerSurvey.hasEnded());
    }
    m_timer.expires_after(m_centreReports.isInUse() ? m_centreReports.interval() : loadOnlyInterval);
    m_timer.async_wait([this](const error_code &ec) {
        if (!ec) {
            tick();
        }
    });
}

void LoadReports::sendFullReport()
{
    if (m_centreReports.isInUse()) {
        m_centreReports.send(fullReport(m_core.clock.now()));
    } else {
        send(false);
    }
}

void LoadReports::send(bool isLoadOnly)
{
    if (m_localPeers.empty() && m_remotePeers.empty()) {
        return;
    }
    const auto now = m_core.clock.now();
    if (isLoadOnly) {
        sendTo(m_localPeers, loadOnlyReport(now));
        return;
    }
    auto report = fullReport(now);
    report.crashes = m_core.crashSuspects.reportIfDue(now).value_or(CrashReport());
    report.asksForReport = !m_core.peerSurvey.hasEnded();
    sendTo(m_localPeers, report);
    if (m_remotePeers.size() <= maxDirectRemotePeers || report.asksForReport) {
        sendTo(m_remotePeers, report);
        return;
    }
    report.shouldForward = true;
    sendTo({m_remotePeers[m_lastSequenceNumber % m_remotePeers.size()]}, report);
}

LoadReport LoadReports::makeReport()
{
    LoadReport report;
    report.host = m_core.settings.host;
    report.incarnation = m_incarnation;
    report.sequenceNumber = ++m_lastSequenceNumber;
    report.requests = m_core.placer->ownRequests();
    return report;
}

LoadReport LoadReports::loadOnlyReport(TimePoint now)
{
    auto report = makeReport();
    report.isLoadOnly = true;
    m_core.placer->loadReported(now);
    return report;
}

LoadReport LoadReports::fullReport(TimePoint now)
{
    auto report = loadOnlyReport(now);
    report.isLoadOnly = false;
    m_lastFullReportAt = now;
    addState(report);
    m_core.limitDivision.setOwnDemand(report.serviceDemand);
    return report;
}

/// Adds what a full report states, but for crashes, of which each statement goes to all peers.
void LoadReports::addState(LoadReport &report) const
{
    const auto now = m_core.clock.now();
    report.demand = m_core.rateLimiter.demands(now);
    report.spent = m_core.rateLimiter.spent();
    report.leavingEngines = m_core.engines.selfReportedLeaving();
    report.knowledge = m_core.knowledge;
    report.uptime = now - m_startedAt;
    report.limits = m_core.engineLimits.report(now);
    if (!m_core.engineLimits.isEmpty()) {
        report.serviceDemand = m_core.placer->demand(now);
    }
    report.rollouts = m_core.rollouts.reports();
}

void LoadReports::sendTo(const std::vector<Address> &peers, const LoadReport &report)
{
    const auto bytes = encodeReport(report);
    for (const auto &it : peers) {
        m_core.peers.send(bytes, it); // a lost report is superseded by the next one
    }
}

} // namespace monsoonward
