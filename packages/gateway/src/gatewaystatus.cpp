#include "gatewaystatus.h"

#include <nlohmann/json.hpp>

namespace monsoonward
{

using Json = nlohmann::json;

GatewayStatus::GatewayStatus(GatewayCore &core,
                             const StoreWatch &store,
                             const CallerListener &callers,
                             const CentreReports &centreReports,
                             std::uint64_t incarnation)
    : m_core(core)
    , m_store(store)
    , m_callers(callers)
    , m_centreReports(centreReports)
    , m_incarnation(incarnation)
{
}

std::string GatewayStatus::metricsText()
{
    const auto now = m_core.clock.now();
    m_core.metrics.setEngines(m_core.engines.size(), m_core.fleet.size());
    m_core.metrics.setMemory(m_core.memory.held(), m_core.memory.waiting());
    m_core.metrics.setOpenRequests(m_core.openRequests, m_callers.connections());
    m_core.metrics.setLogRecordsDropped(m_core.log.dropped());
    m_core.metrics.setStoreEra(m_store.era());
    m_core.metrics.setCrashSuspects(m_core.crashSuspects.refusedCount(now));
    m_core.metrics.setStreams(m_core.streams.directory().size(), m_core.streams.directory().dropped());
    std::map<DataCentreName, Duration> ages;
    for (const auto &[dataCentre, it] : m_core.fleet.centres(now)) {
        ages[dataCentre] = it.age;
    }
    m_core.metrics.setCentres(ages, m_centreReports.position().has_value());
    updateLimitMetrics(now);
    if (m_core.activeConfiguration) {
        const auto &configuration = *m_core.activeConfiguration->configuration;
        m_core.metrics.setConfiguration(configuration.revision, m_core.freshness.age(now).value_or(Duration::zero()));
        for (const auto &it : configuration.services) {
            m_core.metrics.setRetriesLeft(it.name, m_core.retryBudget.remaining(it.name, m_core.fleet.size(), now));
        }
    }
    return m_core.metrics.text();
}

void GatewayStatus::updateLimitMetrics(TimePoint now)
{
    std::size_t limited = 0;
    double ownPerSecond = 0;
    for (const auto *it : m_core.engines.all()) {
        if (const auto allowance = m_core.engineLimiter.allowanceOf(*it, now)) {
            ++limited;
            ownPerSecond += allowance->share;
        }
    }
    m_core.metrics.setEngineLimits(limited, ownPerSecond);
}

std::string GatewayStatus::stateJson(bool isReady, const std::set<std::string> &unavailableTables)
{
    const auto now = m_core.clock.now();
    Json json {{"host", m_core.settings.host.text()},
               {"life", m_incarnation},
               {"ready", isReady},
               {"stopping", m_core.isStopping},
               {"open_requests", m_core.openRequests},
               {"caller_connections", m_callers.connections()},
               {"gateways", m_core.fleet.size()},
               {"store_era", m_store.era()},
               {"crash_suspects", m_core.crashSuspects.refusedCount(now)},
               {"streams_known", m_core.streams.directory().size()},
               {"proof_rank", m_store.proofRank(now)},
               {"tables_unavailable", unavailableTables},
               {"engines", Json::object()}};
    for (const auto &[service, rollout] : m_core.rollouts.all()) {
        json["rollouts"][service.text()] = {{"to", rollout.order().to},
                                            {"phase", textOf(rollout.phase())},
                                            {"reason", rollout.reason()},
                                            {"answers", rollout.judge().answers()},
                                            {"evidence", rollout.judge().evidence()},
                                            {"move_ms", milliseconds(rollout.moveAt() - now)},
                                            {"limit_ms", milliseconds(rollout.limitAt() - now)}};
    }
    json["report_sums"] = {{"in_use", m_centreReports.isInUse()},
                           {"collecting", m_centreReports.position().has_value()},
                           {"data_centres", Json::object()}};
    for (const auto &[dataCentre, it] : m_core.fleet.centres(now)) {
        json["report_sums"]["data_centres"][dataCentre.text()] = {
            {"collector", it.collector.text()}, {"age_ms", milliseconds(it.age)}, {"gateways", it.members}};
    }
    if (const auto age = m_core.freshness.age(now)) {
        json["proof_age_ms"] = milliseconds(*age);
    }
    if (!m_core.activeConfiguration) {
        return json.dump(2);
    }
    json["revision"] = m_core.activeConfiguration->configuration->revision;
    const auto &ownRequests = m_core.placer->ownRequests();
    for (const auto &service : m_core.activeConfiguration->configuration->services) {
        for (const auto *it : m_core.engines.ofService(service.name)) {
            const auto requests = ownRequests.find(it->name);
            json["engines"][it->name.text()] = {{"service", service.name.text()},
                                                {"version", it->softwareVersion},
                                                {"own_requests", requests == ownRequests.end() ? 0 : requests->second},
                                                {"other_requests", m_core.fleet.requestsAt(it->name)},
                                                {"failure_rate", m_core.health.failureRate(it->name)},
                                                {"usable", m_core.health.isAvailable(it->name, now)}};
            if (const auto allowance = m_core.engineLimiter.allowanceOf(*it, now)) {
                json["engines"][it->name.text()]["rate_limit"] = {{"per_second", allowance->perSecond},
                                                                  {"stated_ms_ago", milliseconds(allowance->age)},
                                                                  {"own_per_second", allowance->share}};
            }
        }
    }
    return json.dump(2);
}

} // namespace monsoonward
