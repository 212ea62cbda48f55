#include "monsoonward/dispatch/reportroutes.h"

#include "monsoonward/dispatch/texthash.h"

#include <algorithm>

namespace monsoonward
{

namespace
{

constexpr Duration minInterval = std::chrono::milliseconds(200);
constexpr Duration intervalPerGateway = std::chrono::milliseconds(4); // keeps the bytes a second constant
// A report is at most two intervals old when it arrives; two more centre reports may be lost.
constexpr int intervalsUntilSilent = 5;
constexpr Duration minSilence = std::chrono::milliseconds(1500); // as without sums

} // namespace

bool usesSums(SumsMode mode, std::size_t gateways)
{
    return mode == SumsMode::Always || (mode == SumsMode::Auto && gateways > maxGatewaysWithoutSums);
}

ReportRoutes::ReportRoutes(HostName own, DataCentreName ownDataCentre)
    : m_own(std::move(own))
    , m_ownDataCentre(std::move(ownDataCentre))
{
}

void ReportRoutes::setMembers(std::map<HostName, DataCentreName> members, TimePoint now)
{
    members[m_own] = m_ownDataCentre;
    m_size = members.size();
    m_orders.clear();
    m_neighbours.clear();
    for (const auto &[host, dataCentre] : members) {
        m_orders[dataCentre].push_back(host);
        if (dataCentre == m_ownDataCentre && host != m_own) {
            m_neighbours.push_back(host);
        }
    }
    for (auto &it : m_orders) {
        const auto seed = hashOf(it.first.text());
        std::sort(it.second.begin(), it.second.end(), [&](const HostName &a, const HostName &b) {
            return std::make_pair(hashOf(a.text(), seed), a) < std::make_pair(hashOf(b.text(), seed), b);
        });
    }
    for (auto it = m_heardAt.begin(); it != m_heardAt.end();) {
        it = members.count(it->first) == 0 ? m_heardAt.erase(it) : std::next(it);
    }
    if (!m_vacantSince) {
        m_vacantSince = now;
    }
}

void ReportRoutes::collectorHeard(const HostName &collector, TimePoint now)
{
    m_heardAt[collector] = now;
}

Duration ReportRoutes::interval() const
{
    return std::max<Duration>(minInterval, intervalPerGateway * m_size);
}

Duration ReportRoutes::silenceTimeout() const
{
    return std::max<Duration>(minSilence, interval() * intervalsUntilSilent);
}

bool ReportRoutes::isHeard(const HostName &host, TimePoint now) const
{
    if (host == m_own) {
        return m_isCollecting;
    }
    const auto it = m_heardAt.find(host);
    return it != m_heardAt.end() && now - it->second <= interval() * missedReports;
}

std::vector<HostName> ReportRoutes::collectorsOf(const DataCentreName &dataCentre, TimePoint now) const
{
    std::vector<HostName> collectors;
    const auto order = m_orders.find(dataCentre);
    if (order == m_orders.end()) {
        return collectors;
    }
    for (const auto &it : order->second) {
        if (collectors.size() < collectorsPerCentre && isHeard(it, now)) {
            collectors.push_back(it);
        }
    }
    return collectors;
}

std::optional<std::size_t> ReportRoutes::updateOwnDuty(TimePoint now)
{
    std::size_t heardBefore = 0;
    int unheardBefore = 0;
    for (const auto &it : m_orders[m_ownDataCentre]) {
        if (it == m_own) {
            break;
        }
        const bool isCollector = isHeard(it, now);
        heardBefore += isCollector ? 1 : 0;
        unheardBefore += isCollector ? 0 : 1;
    }
    if (heardBefore >= collectorsPerCentre) {
        m_isCollecting = false;
        m_vacantSince.reset();
        return std::nullopt;
    }
    if (!m_isCollecting) {
        m_vacantSince = m_vacantSince.value_or(now);
        m_isCollecting = now - *m_vacantSince >= interval() * unheardBefore;
    }
    return m_isCollecting ? std::optional<std::size_t>(heardBefore) : std::nullopt;
}

std::vector<HostName> ReportRoutes::collectorsForOwn(TimePoint now) const
{
    auto collectors = collectorsOf(m_ownDataCentre, now);
    collectors.erase(std::remove(collectors.begin(), collectors.end(), m_own), collectors.end());
    return collectors;
}

const std::vector<HostName> &ReportRoutes::neighbours() const
{
    return m_neighbours;
}

std::vector<HostName> ReportRoutes::relays(std::size_t position, TimePoint now) const
{
    std::vector<HostName> relays;
    for (const auto &[dataCentre, order] : m_orders) {
        if (dataCentre == m_ownDataCentre) {
            continue;
        }
        const auto collectors = collectorsOf(dataCentre, now);
        // Without any that is heard, each of the first two collects soon.
        const auto &candidates = collectors.empty() ? order : collectors;
        relays.push_back(candidates[std::min(position, candidates.size() - 1)]);
    }
    return relays;
}

} // namespace monsoonward
