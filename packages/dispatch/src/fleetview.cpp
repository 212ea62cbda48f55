#include "monsoonward/dispatch/fleetview.h"

#include "clearsummed.h"

#include "monsoonward/dispatch/texthash.h"

#include <algorithm>

namespace monsoonward
{

namespace
{

constexpr std::size_t maxUnregistered = 64; // bounds the memory that datagrams from unknown senders can take
constexpr Duration maxReportDelay =
    std::chrono::seconds(10); // of a report in buffers, or while this process is stopped
// Fraction of a limit that is divided evenly, so that a daemon without demand so far can grant requests.
constexpr double evenFraction = 0.1;

/// Subtracts @p n from a sum, which is dropped when it reaches zero.
void subtract(std::map<EngineName, std::uint32_t> &sums, const EngineName &engine, std::uint32_t n)
{
    const auto it = sums.find(engine);
    if (it == sums.end()) {
        return;
    }
    it->second -= std::min(it->second, n);
    if (it->second == 0) {
        sums.erase(it);
    }
}

} // namespace

std::optional<double> demandFor(const ServiceName &service, const std::map<ServiceName, double> &reported)
{
    if (reported.empty()) {
        return std::nullopt;
    }
    const auto it = reported.find(service);
    return it == reported.end() ? 0 : it->second;
}

FleetView::FleetView(HostName own)
    : m_own(std::move(own))
{
}

const HostName &FleetView::own() const
{
    return m_own;
}

void FleetView::setMembers(const std::vector<HostName> &members, TimePoint now)
{
    std::map<HostName, Member> kept;
    for (const auto &it : members) {
        if (it != m_own) {
            const auto known = m_members.find(it);
            kept[it] = known == m_members.end() ? Member {now, false, {}, {}} : known->second;
            m_members.erase(it);
        }
    }
    for (const auto &it : m_members) {
        removeFromSums(it.second.report);
    }
    m_members = std::move(kept);
    m_hostsByHash.clear();
    for (const auto &it : members) {
        m_unregistered.erase(it);
        m_hostsByHash[hashOf(it.text())] = it;
    }
}

void FleetView::addToSums(const LoadReport &report)
{
    for (const auto &[engine, requests] : report.requests) {
        m_requests[engine] += requests;
    }
    for (const auto &it : report.leavingEngines) {
        ++m_leaving[it];
    }
}

void FleetView::removeFromSums(const LoadReport &report)
{
    for (const auto &[engine, requests] : report.requests) {
        subtract(m_requests, engine, requests);
    }
    for (const auto &it : report.leavingEngines) {
        subtract(m_leaving, it, 1);
    }
}

/// Runs are ordered by their starts on this daemon's clock where they contradict the incarnations, since the time of
/// day of the sender may have been set back between two of them. A delay in transit makes a start look later.
/// A member that was silent may have started again any number of times, and its last report may have been delayed.
bool FleetView::isNewer(const Member &member, const LoadReport &report, TimePoint now) const
{
    const auto &last = member.report;
    if (last.host != report.host) {
        return true; // the first one
    }
    if (report.incarnation == last.incarnation) {
        return report.sequenceNumber > last.sequenceNumber;
    }
    if (report.isLoadOnly) {
        return false;
    }
    if (now - member.lastReportAt > m_silenceTimeout) {
        return true;
    }
    const auto startedAt = now - report.uptime;
    const auto lastStartedAt = member.lastReportAt - last.uptime;
    return report.incarnation > last.incarnation ? startedAt + maxReportDelay >= lastStartedAt
                                                 : startedAt > lastStartedAt;
}

std::optional<ReportChanges> FleetView::addReport(const LoadReport &report, TimePoint now)
{
    if (report.host != m_own) {
        m_highestHeard = std::max(m_highestHeard, report.knowledge.revision);
    }
    const auto it = m_members.find(report.host);
    if (it == m_members.end()) {
        // The list of members may be out of date; the sender spends its share of the limits regardless.
        if (report.host != m_own
            && (m_unregistered.size() < maxUnregistered || m_unregistered.count(report.host) != 0)) {
            m_unregistered[report.host] = now;
        }
        return std::nullopt;
    }
    auto &member = it->second;
    const auto &last = member.report;
    if (!isNewer(member, report, now)) {
        return std::nullopt;
    }
    if (report.isLoadOnly) {
        if (member.hasCurrentReport && last.incarnation == report.incarnation) {
            removeFromSums(last);
            member.report.sequenceNumber = report.sequenceNumber;
            if (!isInSums(member, now)) {
                member.report.requests = report.requests;
            }
            addToSums(member.report);
        }
        return std::nullopt;
    }
    ReportChanges changes;
    changes.wasSilent = !isReporting(report.host, now);
    const bool isSameRun = last.incarnation == report.incarnation;
    const bool hasJustStarted = report.uptime <= m_silenceTimeout * 2;
    if (isSameRun ? !changes.wasSilent : hasJustStarted) {
        for (const auto &[customer, units] : report.spent) {
            const auto before = last.spent.find(customer);
            const bool isKnown = isSameRun && before != last.spent.end();
            changes.spent[customer] = units - (isKnown ? before->second : 0);
        }
    }
    removeFromSums(last);
    member = {now, true, report, member.inSumsAt};
    if (isInSums(member, now)) {
        clearSummed(member.report);
    }
    addToSums(member.report);
    return changes;
}

bool FleetView::isReporting(const HostName &member, TimePoint now) const
{
    const auto it = m_members.find(member);
    return it != m_members.end() && it->second.hasCurrentReport && now - it->second.lastReportAt <= m_silenceTimeout;
}

void FleetView::setSilenceTimeout(Duration timeout)
{
    m_silenceTimeout = timeout;
}

std::size_t FleetView::reportingCount(TimePoint now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_members.begin(), m_members.end(), [&](const auto &it) { return isReporting(it.first, now); }));
}

std::size_t FleetView::size() const
{
    return m_members.size() + m_unregistered.size() + 1;
}

std::vector<HostName> FleetView::silentFor(Duration length, TimePoint now) const
{
    std::vector<HostName> silent;
    for (const auto &[host, member] : m_members) {
        if (now - member.lastReportAt >= length) {
            silent.push_back(host);
        }
    }
    return silent;
}

std::uint32_t FleetView::requestsAt(const EngineName &engine) const
{
    const auto it = m_requests.find(engine);
    const auto own = it == m_requests.end() ? 0 : it->second;
    if (m_centreSums.requests.empty()) {
        return own;
    }
    const auto summed = m_centreSums.requests.find(keyOf(engine));
    return own + (summed == m_centreSums.requests.end() ? 0 : summed->second);
}

bool FleetView::isReportedLeaving(const EngineName &engine) const
{
    return m_leaving.count(engine) != 0
        || (!m_centreSums.leaving.empty() && m_centreSums.leaving.count(keyOf(engine)) != 0);
}

Revision FleetView::highestRevision(TimePoint now) const
{
    Revision highest = 0;
    for (const auto &[host, member] : m_members) {
        if (isReporting(host, now)) {
            highest = std::max(highest, member.report.knowledge.revision);
        }
    }
    for (const auto &it : m_centres) {
        highest = std::max(highest, it.second.knowledge.revision);
    }
    return highest;
}

bool FleetView::isNewestRevision(Revision active, Revision stored) const
{
    return stored >= active && m_highestHeard <= active;
}

std::size_t FleetView::dutyRank(const std::vector<HostName> &hosts, TimePoint now) const
{
    const auto weight = [](const HostName &it) { return hashOf(it.text()); };
    const auto own = weight(m_own);
    return static_cast<std::size_t>(std::count_if(hosts.begin(), hosts.end(), [&](const HostName &it) {
        return it != m_own && isReporting(it, now) && weight(it) < own;
    }));
}

double FleetView::reportingFraction(TimePoint now) const
{
    double reporting = 1;
    for (const auto &it : m_members) {
        reporting += isReporting(it.first, now) ? 1 : 0;
    }
    return reporting / static_cast<double>(size());
}

double FleetView::reportedDemand(const CustomerName &customer, TimePoint now) const
{
    const auto summed = m_centreSums.demand.find(customer);
    double demand = summed == m_centreSums.demand.end() ? 0 : summed->second;
    for (const auto &[host, member] : m_members) {
        const auto reported = member.report.demand.find(customer);
        demand += isReporting(host, now) && reported != member.report.demand.end() ? reported->second : 0;
    }
    return demand;
}

double FleetView::ownFractionFor(const CustomerName &customer, double ownDemand, TimePoint now) const
{
    const double reporting = reportingFraction(now) * static_cast<double>(size());
    const double demand = ownDemand + reportedDemand(customer, now);
    return demand <= 0 ? 1 / reporting : evenFraction / reporting + (1 - evenFraction) * ownDemand / demand;
}

void FleetView::setReportInterval(Duration interval)
{
    m_reportInterval = interval;
}

double FleetView::unreportedUnits(const CustomerName &customer, TimePoint now) const
{
    return reportedDemand(customer, now) * std::chrono::duration<double>(m_reportInterval).count();
}

std::map<HostName, std::optional<double>> FleetView::serviceDemands(const ServiceName &service, TimePoint now) const
{
    std::map<HostName, std::optional<double>> demands;
    for (const auto &[host, member] : m_members) {
        if (isReporting(host, now)) {
            demands[host] = demandFor(service, member.report.serviceDemand);
        }
    }
    return demands;
}

void FleetView::expire(TimePoint now)
{
    expireCentres(now);
    for (auto it = m_unregistered.begin(); it != m_unregistered.end();) {
        it = now - it->second > m_silenceTimeout ? m_unregistered.erase(it) : std::next(it);
    }
    for (auto &it : m_members) {
        auto &member = it.second;
        if (member.hasCurrentReport && now - member.lastReportAt > m_silenceTimeout) {
            removeFromSums(member.report);
            member.report.requests.clear();
            member.report.leavingEngines.clear();
            member.hasCurrentReport = false;
        }
    }
}

} // namespace monsoonward
