#include "centrereports.h"

#include "enginestatements.h"
#include "reportcodec.h"

namespace monsoonward
{

namespace
{

constexpr std::size_t maxCrashes = 4 * CrashSuspects::maxReported; // 12 kB; the rest comes with the next reports
constexpr int minIntervalDivisor = 4; // a proof is passed on at once, but not more often than this in an interval

} // namespace

CentreReports::CentreReports(GatewayCore &core,
                             std::uint64_t incarnation,
                             RejectedMessages &rejected,
                             std::function<void(const StoreKnowledge &)> onKnowledge)
    : m_core(core)
    , m_incarnation(incarnation)
    , m_rejected(rejected)
    , m_onKnowledge(std::move(onKnowledge))
    , m_routes(core.settings.host, core.settings.topology.ownDataCentre)
    , m_collector(core.settings.topology.ownDataCentre)
{
}

void CentreReports::setMembers(const std::vector<MemberRecord> &members)
{
    std::map<HostName, DataCentreName> locations;
    std::vector<HostName> local {m_core.settings.host};
    m_addresses.clear();
    bool isUnderstood = true;
    for (const auto &it : members) {
        locations[it.host] = it.dataCentre;
        m_addresses[it.host] = it.peerAddress;
        if (it.host != m_core.settings.host) {
            isUnderstood = isUnderstood && it.centreReportFormat >= centreReportFormat;
            if (it.dataCentre == m_core.settings.topology.ownDataCentre) {
                local.push_back(it.host);
            }
        }
    }
    m_isInUse = isUnderstood && !m_core.rollouts.isEnabled() && usesSums(m_core.settings.reportSums, members.size());
    m_collector.setMembers(local);
    m_core.fleet.setDataCentres(locations);
    m_routes.setMembers(std::move(locations), m_core.clock.now());
    if (!m_isInUse) {
        m_position.reset();
    }
}

bool CentreReports::isInUse() const
{
    return m_isInUse;
}

Duration CentreReports::interval() const
{
    return m_routes.interval();
}

Duration CentreReports::silenceTimeout() const
{
    return m_routes.silenceTimeout();
}

std::optional<std::size_t> CentreReports::position() const
{
    return m_position;
}

void CentreReports::send(LoadReport own)
{
    const auto now = m_core.clock.now();
    m_position = m_routes.updateOwnDuty(now);
    if (!m_position) {
        own.crashes = m_core.crashSuspects.reportIfDue(now).value_or(CrashReport());
        m_crashes.clear();
    }
    m_core.fleet.ownReportSent(own);
    m_collector.add(own, now);
    sendTo(m_routes.collectorsForOwn(now), encodeReport(own));
    m_collector.expire(m_routes.silenceTimeout(), now);
    if (m_position) {
        collectAndSend();
    }
}

void CentreReports::addReport(const LoadReport &report)
{
    if (!m_isInUse || !m_collector.add(report, m_core.clock.now()) || !m_position) {
        return;
    }
    if (!report.crashes.isEmpty()) {
        m_crashes.emplace_back(m_core.clock.now(), report.crashes);
    }
    const bool isNewProof = report.knowledge.era == m_core.knowledge.era
        && report.knowledge.revision == m_core.knowledge.revision && report.knowledge.provenAtMs > m_sentProofMs;
    if (isNewProof && m_core.clock.now() - m_sentAt >= m_routes.interval() / minIntervalDivisor) {
        collectAndSend();
    }
}

void CentreReports::collectAndSend()
{
    const auto now = m_core.clock.now();
    CentreMessage message {m_collector.collect(m_routes.interval(), now), false};
    auto &report = message.report;
    report.collector = m_core.settings.host;
    report.incarnation = m_incarnation;
    report.sequenceNumber = ++m_lastSequenceNumber;
    report.crashes = takeCrashes(now);
    m_sentAt = now;
    m_sentProofMs = report.knowledge.provenAtMs;
    apply(report, m_core.settings.peerListen, true);
    sendTo(m_routes.neighbours(), encodeCentreMessage(message));
    message.shouldForward = true;
    sendTo(m_routes.relays(*m_position, now), encodeCentreMessage(message));
}

/// @return what this gateway knows of crashes, if it is due, and what others have reported since the last time
CrashReport CentreReports::takeCrashes(TimePoint now)
{
    auto taken = m_core.crashSuspects.reportIfDue(now).value_or(CrashReport());
    for (const auto &[receivedAt, report] : m_crashes) {
        for (auto it : report.crashes) {
            it.age += now - receivedAt;
            taken.crashes.push_back(it);
        }
        for (auto it : report.sound) {
            it.age += now - receivedAt;
            taken.sound.push_back(it);
        }
    }
    m_crashes.clear();
    taken.crashes.resize(std::min(taken.crashes.size(), maxCrashes));
    taken.sound.resize(std::min(taken.sound.size(), maxCrashes));
    return taken;
}

void CentreReports::receive(const PeerSocket::Datagram &datagram)
{
    auto message = decodeCentreMessage(datagram.bytes, datagram.size);
    if (!message) {
        m_rejected.reject("report-rejected", datagram.sender, message.error().message);
        return;
    }
    if (m_addresses.empty()) {
        return; // the registrations haven't been read yet, so the sender can't be checked
    }
    apply(message.value().report, datagram.sender, false);
    if (message.value().shouldForward && m_isInUse) {
        message.value().shouldForward = false;
        sendTo(m_routes.neighbours(), encodeCentreMessage(message.value()));
    }
}

void CentreReports::apply(const CentreReport &report, const Address &sender, bool isOwn)
{
    const auto now = m_core.clock.now();
    const auto changes = m_core.fleet.addCentreReport(report, now);
    if (!changes) {
        m_rejected.reject("report-rejected", sender, changes.error().message);
        return;
    }
    if (!changes.value()) {
        return;
    }
    const auto reportingFraction = m_core.fleet.reportingFraction(now);
    for (const auto &[customer, units] : changes.value()->spent) {
        m_core.rateLimiter.recordRemoteSpending(customer, units, reportingFraction, now);
    }
    for (const auto &it : changes.value()->heardAgain) {
        m_core.log.write(Event::GatewayHeard, Severity::Info, "gateway-heard", {{"peer", std::string_view(it.text())}});
    }
    if (isOwn) {
        return;
    }
    m_routes.collectorHeard(report.collector, now);
    m_core.crashSuspects.addReport(report.crashes, now);
    recordReportedRateLimits(m_core, report.limits, report.collector);
    m_onKnowledge(report.knowledge);
}

void CentreReports::sendTo(const std::vector<HostName> &hosts, const std::vector<std::uint8_t> &bytes)
{
    for (const auto &it : hosts) {
        const auto address = m_addresses.find(it);
        if (address != m_addresses.end()) {
            m_core.peers.send(bytes, address->second); // a lost report is superseded by the next one
        }
    }
}

} // namespace monsoonward
