#include "monsoonward/dispatch/centrecollector.h"

#include "monsoonward/dispatch/texthash.h"

#include <algorithm>

namespace monsoonward
{

namespace
{

constexpr int intervalsToRepeat = 4; // a counter is in this many centre reports after its last change
constexpr Duration startTime = std::chrono::seconds(3); // a gateway this young has granted all its units lately

} // namespace

CentreCollector::CentreCollector(DataCentreName dataCentre)
    : m_dataCentre(std::move(dataCentre))
{
}

void CentreCollector::setMembers(const std::vector<HostName> &members)
{
    std::map<HostName, Member> kept;
    for (const auto &it : members) {
        const auto known = m_members.find(it);
        kept[it] = known == m_members.end() ? Member() : std::move(known->second);
    }
    m_members = std::move(kept);
}

bool CentreCollector::add(const LoadReport &report, TimePoint now)
{
    const auto it = m_members.find(report.host);
    if (it == m_members.end() || report.isLoadOnly) {
        return false;
    }
    auto &member = it->second;
    const auto &last = member.report;
    if (last.incarnation > report.incarnation
        || (last.incarnation == report.incarnation && last.sequenceNumber >= report.sequenceNumber)) {
        return false;
    }
    updateCounters(member, report, now);
    member.report = report;
    member.reportedAt = now;
    member.hasReport = true;
    return true;
}

void CentreCollector::updateCounters(Member &member, const LoadReport &report, TimePoint now)
{
    const bool isSameRun = member.report.incarnation == report.incarnation;
    const bool isFirst = !isSameRun && report.uptime > startTime;
    if (!isSameRun) {
        member.counters.clear();
    }
    for (const auto &[customer, units] : report.spent) {
        const auto total = static_cast<std::int64_t>(units);
        auto &counter = member.counters[customer];
        if (isFirst) {
            counter.units = {total, total}; // when it was granted isn't known
        } else if (counter.units.total != total) {
            counter = {{total, counter.isChanged ? counter.units.before : counter.units.total}, now, true};
        }
    }
}

void CentreCollector::expire(Duration silence, TimePoint now)
{
    for (auto &it : m_members) {
        auto &member = it.second;
        member.hasReport = member.hasReport && now - member.reportedAt <= silence;
    }
}

CentreReport CentreCollector::collect(Duration interval, TimePoint now) const
{
    CentreReport collected;
    collected.dataCentre = m_dataCentre;
    std::map<EngineRun, EngineLimitStatement> limits;
    for (const auto &[host, member] : m_members) {
        if (!member.hasReport) {
            continue;
        }
        const auto &report = member.report;
        const auto age = now - member.reportedAt;
        MemberRow row {hashOf(host.text()), report.incarnation, report.sequenceNumber, age, report.uptime};
        row.serviceDemand = report.serviceDemand;
        for (const auto &[customer, counter] : member.counters) {
            if (counter.isChanged && now - counter.changedAt <= interval * intervalsToRepeat) {
                row.spent[customer] = counter.units;
            }
        }
        collected.members.push_back(std::move(row));
        collected.sums.add(report);
        collected.knowledge = newest(collected.knowledge, report.knowledge);
        for (auto it : report.limits) {
            it.age += age;
            const auto known = limits.find(it.run);
            if (known == limits.end() || known->second.age > it.age) {
                limits[it.run] = it;
            }
        }
    }
    for (const auto &it : limits) {
        collected.limits.push_back(it.second);
    }
    return collected;
}

} // namespace monsoonward
