// The part of FleetView that takes the collected reports of data centres.
#include "clearsummed.h"

#include "monsoonward/dispatch/fleetview.h"
#include "monsoonward/dispatch/texthash.h"

#include <algorithm>

namespace monsoonward
{

namespace
{

constexpr std::size_t maxOwnReports = 16; // older ones are no longer in sums
constexpr std::size_t maxUnregistered = 64; // as for direct reports

} // namespace

void FleetView::setDataCentres(std::map<HostName, DataCentreName> dataCentres)
{
    m_dataCentres = std::move(dataCentres);
    for (auto it = m_collectors.begin(); it != m_collectors.end();) {
        it = m_dataCentres.count(it->first) == 0 ? m_collectors.erase(it) : std::next(it);
    }
}

void FleetView::ownReportSent(const LoadReport &report)
{
    m_ownReports.push_back(report);
    if (m_ownReports.size() > maxOwnReports) {
        m_ownReports.pop_front();
    }
}

bool FleetView::isInSums(const Member &member, TimePoint now) const
{
    return member.inSumsAt && now - *member.inSumsAt <= m_silenceTimeout;
}

Result<std::optional<CentreChanges>> FleetView::addCentreReport(const CentreReport &report, TimePoint now)
{
    const auto location = m_dataCentres.find(report.collector);
    if (location == m_dataCentres.end() || location->second != report.dataCentre) {
        return Error {ErrorCode::Invalid, "the collector is not a registered gateway of the data centre"};
    }
    auto &run = m_collectors[report.collector];
    if (run.incarnation > report.incarnation) {
        return Error {ErrorCode::Invalid, "the report is of an earlier run of the collector"};
    }
    if (run.incarnation == report.incarnation && run.sequenceNumber >= report.sequenceNumber) {
        return std::optional<CentreChanges>();
    }
    run = {report.incarnation, report.sequenceNumber};
    CentreChanges changes;
    for (const auto &it : report.members) {
        addRow(it, now, changes);
    }
    replaceSums(report, now);
    return std::optional<CentreChanges>(std::move(changes));
}

void FleetView::addRow(const MemberRow &row, TimePoint now, CentreChanges &changes)
{
    if (row.host == hashOf(m_own.text()) || row.age > m_silenceTimeout) {
        return;
    }
    const auto host = m_hostsByHash.find(row.host);
    const auto found = host == m_hostsByHash.end() ? m_members.end() : m_members.find(host->second);
    if (found == m_members.end()) {
        const HostName unknown("#" + std::to_string(row.host));
        if (m_unregistered.size() < maxUnregistered || m_unregistered.count(unknown) != 0) {
            m_unregistered[unknown] = now;
        }
        return;
    }
    auto &member = found->second;
    const auto &last = member.report;
    if (last.incarnation > row.incarnation
        || (last.incarnation == row.incarnation && last.sequenceNumber >= row.sequenceNumber)) {
        return;
    }
    const bool wasSilent = !isReporting(found->first, now);
    const bool isSameRun = last.incarnation == row.incarnation;
    const bool isCounted = isSameRun ? !wasSilent : row.uptime <= m_silenceTimeout * 2;
    LoadReport report = isSameRun ? last : LoadReport();
    report.host = found->first;
    report.incarnation = row.incarnation;
    report.sequenceNumber = row.sequenceNumber;
    report.uptime = row.uptime;
    report.serviceDemand = row.serviceDemand;
    for (const auto &[customer, units] : row.spent) {
        const auto total = static_cast<double>(units.total);
        const auto known = report.spent.find(customer);
        const double before = known != report.spent.end() ? known->second
            : isSameRun                                   ? static_cast<double>(units.before)
                                                          : 0;
        if (isCounted) {
            changes.spent[customer] += total - before;
        }
        report.spent[customer] = total;
    }
    if (wasSilent) {
        changes.heardAgain.push_back(found->first);
    }
    removeFromSums(last);
    member = {now - row.age, true, std::move(report), member.inSumsAt};
    addToSums(member.report);
}

/// Uses the report's sums unless those of another collector that hears as many members are recent.
void FleetView::replaceSums(const CentreReport &report, TimePoint now)
{
    const auto current = static_cast<std::size_t>(std::count_if(
        report.members.begin(), report.members.end(), [&](const MemberRow &it) { return it.age <= m_reportInterval; }));
    auto &centre = m_centres[report.dataCentre];
    const bool isOvertaken = !centre.collector.text().empty() && centre.collector != report.collector
        && now - centre.receivedAt <= m_reportInterval * 3 / 4 && current <= centre.currentMembers;
    if (isOvertaken) {
        return;
    }
    m_centreSums.subtract(centre.sums);
    centre = {report.collector, now, current, report.members.size(), report.sums, report.knowledge};
    for (const auto &row : report.members) {
        if (row.host == hashOf(m_own.text())) {
            const auto own = std::find_if(m_ownReports.begin(), m_ownReports.end(), [&](const LoadReport &it) {
                return it.incarnation == row.incarnation && it.sequenceNumber == row.sequenceNumber;
            });
            if (own != m_ownReports.end()) {
                ReportSums contained;
                contained.add(*own);
                centre.sums.subtract(contained);
            }
            continue;
        }
        const auto host = m_hostsByHash.find(row.host);
        const auto member = host == m_hostsByHash.end() ? m_members.end() : m_members.find(host->second);
        if (member != m_members.end()) {
            removeFromSums(member->second.report);
            clearSummed(member->second.report);
            member->second.inSumsAt = now;
        }
    }
    m_centreSums.add(centre.sums);
}

void FleetView::expireCentres(TimePoint now)
{
    for (auto it = m_centres.begin(); it != m_centres.end();) {
        if (now - it->second.receivedAt <= m_silenceTimeout) {
            ++it;
            continue;
        }
        m_centreSums.subtract(it->second.sums);
        it = m_centres.erase(it);
    }
}

std::map<DataCentreName, CentreState> FleetView::centres(TimePoint now) const
{
    std::map<DataCentreName, CentreState> states;
    for (const auto &[dataCentre, it] : m_centres) {
        states[dataCentre] = {it.collector, now - it.receivedAt, it.members};
    }
    return states;
}

} // namespace monsoonward
