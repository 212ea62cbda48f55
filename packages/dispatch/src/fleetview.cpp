#include "monsoonward/dispatch/fleetview.h"

#include <algorithm>

namespace monsoonward
{

namespace
{

constexpr std::size_t mostStrangers = 64; // bounds what datagrams from anywhere can do
constexpr double evenPart = 0.1; // of the limit that is divided evenly, so that a daemon without demand can begin

} // namespace

FleetView::FleetView(HostName own)
    : m_own(std::move(own))
{
}

void FleetView::setMembers(const std::vector<HostName> &members, TimePoint now)
{
    std::map<HostName, Member> kept;
    for (const auto &it : members) {
        if (it != m_own) {
            const auto known = m_members.find(it);
            kept[it] = known == m_members.end() ? Member {now, false, {}} : known->second;
            m_members.erase(it);
        }
    }
    for (const auto &it : m_members) {
        addLoads(it.second.report, -1);
    }
    m_members = std::move(kept);
    for (const auto &it : members) {
        m_strangers.erase(it);
    }
}

void FleetView::addLoads(const LoadReport &report, int sign)
{
    for (const auto &[engine, requests] : report.requests) {
        auto &sum = m_requests[engine];
        sum = sign > 0 ? sum + requests : sum - std::min(sum, requests);
        if (sum == 0) {
            m_requests.erase(engine);
        }
    }
}

std::optional<ReportChanges> FleetView::addReport(const LoadReport &report, TimePoint now)
{
    const auto it = m_members.find(report.host);
    if (it == m_members.end()) {
        // The list of members may be late: the other one takes its part of the limits all the same.
        if (report.host != m_own && (m_strangers.size() < mostStrangers || m_strangers.count(report.host) != 0)) {
            m_strangers[report.host] = now;
        }
        return std::nullopt;
    }
    auto &member = it->second;
    const auto &last = member.report;
    if (last.incarnation > report.incarnation
        || (last.incarnation == report.incarnation && last.sequenceNumber >= report.sequenceNumber)) {
        return std::nullopt;
    }
    if (report.isLoadOnly) {
        if (member.isHeard && last.incarnation == report.incarnation) {
            addLoads(last, -1);
            member.report.sequenceNumber = report.sequenceNumber;
            member.report.requests = report.requests;
            addLoads(report, 1);
        }
        return std::nullopt;
    }
    ReportChanges heard;
    heard.wasSilent = !isReporting(report.host, now);
    if (!heard.wasSilent || last.incarnation != report.incarnation) {
        for (const auto &[customer, units] : report.spent) {
            const auto before = last.spent.find(customer);
            const bool isKnown = last.incarnation == report.incarnation && before != last.spent.end();
            heard.spent[customer] = units - (isKnown ? before->second : 0);
        }
    }
    addLoads(last, -1);
    member = {now, true, report};
    addLoads(report, 1);
    return heard;
}

bool FleetView::isReporting(const HostName &member, TimePoint now) const
{
    const auto it = m_members.find(member);
    return it != m_members.end() && it->second.isHeard && now - it->second.heardAt <= m_silenceBound;
}

void FleetView::setSilenceTimeout(Duration bound)
{
    m_silenceBound = bound;
}

std::size_t FleetView::size() const
{
    return m_members.size() + m_strangers.size() + 1;
}

std::vector<HostName> FleetView::silentFor(Duration length, TimePoint now) const
{
    std::vector<HostName> silent;
    for (const auto &[host, member] : m_members) {
        if (now - member.heardAt >= length) {
            silent.push_back(host);
        }
    }
    return silent;
}

std::uint32_t FleetView::requestsAt(const EngineName &engine) const
{
    const auto it = m_requests.find(engine);
    return it == m_requests.end() ? 0 : it->second;
}

double FleetView::reportingFraction(TimePoint now) const
{
    double heard = 1;
    for (const auto &it : m_members) {
        heard += isReporting(it.first, now) ? 1 : 0;
    }
    return heard / static_cast<double>(size());
}

double FleetView::ownFractionFor(const CustomerName &customer, double ownDemand, TimePoint now) const
{
    double heard = 1;
    double demand = ownDemand;
    for (const auto &[host, member] : m_members) {
        if (!isReporting(host, now)) {
            continue;
        }
        ++heard;
        const auto asked = member.report.demand.find(customer);
        demand += asked == member.report.demand.end() ? 0 : asked->second;
    }
    return demand <= 0 ? 1 / heard : evenPart / heard + (1 - evenPart) * ownDemand / demand;
}

void FleetView::expire(TimePoint now)
{
    for (auto it = m_strangers.begin(); it != m_strangers.end();) {
        it = now - it->second > m_silenceBound ? m_strangers.erase(it) : std::next(it);
    }
    for (auto &it : m_members) {
        auto &member = it.second;
        if (member.isHeard && now - member.heardAt > m_silenceBound) {
            addLoads(member.report, -1);
            member.report.requests.clear();
            member.isHeard = false;
        }
    }
}

} // namespace monsoonward
