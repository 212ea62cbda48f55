#include "monsoonward/dispatch/rollouts.h"

#include "monsoonward/dispatch/texthash.h"

#include <algorithm>

namespace monsoonward
{

namespace
{

EngineBuild buildNamed(const ServiceName &service, const std::string &version)
{
    EngineRecord engine;
    engine.service = service;
    engine.softwareVersion = version;
    return buildOf(engine);
}

/// @return versions of the service's engines that may get requests
std::set<EngineBuild> buildsOf(const std::vector<const EngineRecord *> &engines)
{
    std::set<EngineBuild> builds;
    for (const auto *it : engines) {
        builds.insert(buildOf(*it));
    }
    return builds;
}

} // namespace

Rollouts::Rollouts(const RolloutLimits &limits,
                   HostName own,
                   const EngineDirectory &directory,
                   const FleetView &fleet,
                   Topology topology)
    : m_limits(limits)
    , m_own(std::move(own))
    , m_directory(directory)
    , m_fleet(fleet)
    , m_topology(std::move(topology))
{
}

bool Rollouts::isEnabled() const
{
    return m_limits.isEnabled();
}

bool Rollouts::orderRead(const RolloutOrder &order, TimePoint orderedAt, Duration drainTime, bool wasRunning)
{
    const auto it = m_rollouts.find(order.service);
    if (it != m_rollouts.end()) {
        if (it->second.order() == order) {
            return false;
        }
        abandon(order.service);
    }
    m_distrusted[order.service].erase(order.to);
    const double slackPart = wasRunning ? 1 / static_cast<double>(m_fleet.size()) : 0;
    const double offset = uniformOf(hashOf(m_own.text(), order.id));
    m_rollouts.emplace(order.service, Rollout(order, m_limits, orderedAt, drainTime, slackPart, offset));
    return true;
}

void Rollouts::abandon(const ServiceName &service)
{
    const auto it = m_rollouts.find(service);
    if (it == m_rollouts.end()) {
        return;
    }
    if (it->second.phase() != RolloutPhase::Completed) {
        m_distrusted[service].insert(it->second.order().to);
    }
    m_rollouts.erase(it);
    m_heard.erase(service);
    m_completedAt.erase(service);
}

void Rollouts::orderRemoved(const ServiceName &service)
{
    m_rollouts.erase(service);
    m_heard.erase(service);
    m_completedAt.erase(service);
    m_distrusted.erase(service);
}

bool Rollouts::statusRead(const RolloutStatus &status, TimePoint now)
{
    const auto it = m_rollouts.find(status.service);
    if (it == m_rollouts.end() || it->second.order().id != status.orderId || it->second.order().to != status.to) {
        return false;
    }
    it->second.statusRead(status);
    if (status.state == RolloutState::Completed) {
        m_completedAt.emplace(status.service, now);
        m_known.insert(buildNamed(status.service, status.to));
    }
    return true;
}

bool Rollouts::engineSeen(const EngineRecord &engine, TimePoint now)
{
    const auto build = buildOf(engine);
    return isEnabled() && m_known.count(build) == 0 && m_pending.emplace(build, now).second;
}

void Rollouts::ordersRead(TimePoint at)
{
    for (auto it = m_pending.begin(); it != m_pending.end();) {
        const bool isDue = it->second < at;
        if (isDue) {
            m_known.insert(it->first);
        }
        it = isDue ? m_pending.erase(it) : std::next(it);
    }
}

bool Rollouts::hasPendingVersions() const
{
    return !m_pending.empty();
}

std::vector<EngineBuild> Rollouts::badBuilds(const ServiceName &service) const
{
    const auto it = m_rollouts.find(service);
    const bool isBad = it != m_rollouts.end()
        && (it->second.phase() == RolloutPhase::Bad || it->second.phase() == RolloutPhase::RolledBack);
    return isBad ? std::vector<EngineBuild> {buildNamed(service, it->second.order().to)} : std::vector<EngineBuild> {};
}

Rollout *Rollouts::find(const ServiceName &service)
{
    const auto it = m_rollouts.find(service);
    return it == m_rollouts.end() ? nullptr : &it->second;
}

const std::map<ServiceName, Rollout> &Rollouts::all() const
{
    return m_rollouts;
}

bool Rollouts::isOfNewVersion(const EngineRecord &engine) const
{
    const auto it = m_rollouts.find(engine.service);
    return it != m_rollouts.end() && it->second.order().to == engine.softwareVersion;
}

std::vector<EngineBuild> Rollouts::withheld(const ServiceName &service) const
{
    std::vector<EngineBuild> builds;
    const auto distrusted = m_distrusted.find(service);
    if (distrusted != m_distrusted.end()) {
        for (const auto &it : distrusted->second) {
            builds.push_back(buildNamed(service, it));
        }
    }
    if (m_pending.empty()) {
        return builds;
    }
    const auto present = buildsOf(m_directory.ofService(service));
    const auto isPending = [&](EngineBuild it) { return m_pending.count(it) != 0; };
    if (!std::all_of(present.begin(), present.end(), isPending)) {
        std::copy_if(present.begin(), present.end(), std::back_inserter(builds), isPending);
    }
    return builds;
}

std::vector<EngineName> Rollouts::enginesLeftOut(const Rollout &rollout) const
{
    // The way to another region would make answers late that are compared with those of near engines.
    std::vector<std::pair<std::uint64_t, EngineName>> near;
    std::vector<std::pair<std::uint64_t, EngineName>> far;
    for (const auto *it : m_directory.ofService(rollout.order().service)) {
        if (it->softwareVersion == rollout.order().to) {
            const bool isFar = m_topology.distanceTo(it->dataCentre) == Distance::OtherRegion;
            (isFar ? far : near).emplace_back(hashOf(it->name.text(), rollout.order().id), it->name);
        }
    }
    auto &ranked = near.empty() ? far : near;
    std::sort(ranked.begin(), ranked.end());
    std::vector<EngineName> names;
    for (auto n = rollout.trialEngines(ranked.size()); n < ranked.size(); ++n) {
        names.push_back(ranked[n].second);
    }
    if (!near.empty()) {
        std::transform(far.begin(), far.end(), std::back_inserter(names), [](const auto &it) { return it.second; });
    }
    return names;
}

RolloutChoice
Rollouts::choose(const ServiceName &service, bool isFirstAttempt, bool isRepeatable, double hash, TimePoint now)
{
    RolloutChoice choice;
    choice.excludedBuilds = withheld(service);
    choice.fallbackExcludedBuilds = choice.excludedBuilds;
    auto *rollout = find(service);
    if (rollout == nullptr) {
        return choice;
    }
    const auto completedAt = m_completedAt.find(service);
    if (completedAt != m_completedAt.end() && now - completedAt->second > completedMemory) {
        return choice;
    }
    choice.version = rollout->choose(isFirstAttempt, isRepeatable, hash, now);
    const auto ordered = buildNamed(service, rollout->order().to);
    if (choice.version == VersionChoice::Old) {
        choice.excludedBuilds.push_back(ordered);
        choice.fallbackExcludedBuilds = choice.excludedBuilds;
        return choice;
    }
    choice.excludedBuilds.clear();
    for (const auto it : buildsOf(m_directory.ofService(service))) {
        if (it != ordered) {
            choice.excludedBuilds.push_back(it);
        }
    }
    if (choice.version == VersionChoice::Trial) {
        choice.excludedEngines = enginesLeftOut(*rollout);
        choice.fallbackExcludedBuilds.push_back(ordered);
    }
    return choice;
}

void Rollouts::addReports(const HostName &host, const std::vector<RolloutReport> &reports)
{
    for (const auto &report : reports) {
        for (auto &[service, rollout] : m_rollouts) {
            if (report.orderId == rollout.order().id && report.serviceHash == hashOf(service.text())) {
                rollout.addReport(host, report);
                m_heard[service][host] = report;
            }
        }
    }
}

std::vector<RolloutReport> Rollouts::reports() const
{
    std::vector<RolloutReport> reports;
    for (const auto &it : m_rollouts) {
        const auto phase = it.second.phase();
        if (phase != RolloutPhase::Completed && phase != RolloutPhase::RolledBack) {
            reports.push_back(it.second.report());
        }
    }
    return reports;
}

RolloutSurroundings Rollouts::surroundings(const ServiceName &service,
                                           const std::map<EngineName, std::uint32_t> &ownRequests,
                                           TimePoint now) const
{
    RolloutSurroundings around;
    around.otherGateways = m_fleet.size() - 1;
    around.reportingGateways = m_fleet.reportingCount(now);
    const auto heard = m_heard.find(service);
    if (heard != m_heard.end()) {
        for (const auto &[host, report] : heard->second) {
            around.stoppedGateways += report.hasStoppedOld && m_fleet.isReporting(host, now) ? 1 : 0;
        }
    }
    for (const auto *it : m_directory.all()) {
        if (it->service != service) {
            continue;
        }
        const bool isNew = isOfNewVersion(*it);
        const auto own = ownRequests.find(it->name);
        const auto n = m_fleet.requestsAt(it->name) + (own == ownRequests.end() ? 0 : own->second);
        around.serviceRequests += n;
        around.oldRequests += isNew ? 0 : n;
        if (m_directory.mayReceive(it->name)) {
            (isNew ? around.newSlots : around.oldSlots) += it->slots;
        }
    }
    return around;
}

} // namespace monsoonward
