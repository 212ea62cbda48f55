#include "storechanges.h"

namespace monsoonward
{

StoreChanges::StoreChanges(GatewayCore &core,
                           StoreWatch &store,
                           std::uint64_t hashSeed,
                           std::function<void(const EngineRecord &)> engineSeen)
    : m_core(core)
    , m_store(store)
    , m_hashSeed(hashSeed)
    , m_engineSeen(std::move(engineSeen))
{
}

void StoreChanges::configurationRows(const std::vector<TableRow> &rows)
{
    for (const auto &it : rows) {
        if (it.key != m_core.adapter.storeLayout().configurationKey) {
            continue;
        }
        const auto startedAt = m_core.clock.now();
        auto decoded = it.value ? m_core.adapter.decodeConfiguration(*it.value)
                                : Result<ServingConfiguration>(Error {ErrorCode::NotFound, "row removed"});
        if (decoded) {
            m_store.configurationRead(decoded.value().revision);
            applyConfiguration(std::move(decoded.value()), {it.value->size(), startedAt});
        } else {
            m_core.log.write(Event::ConfigurationRejected,
                             Severity::Error,
                             "configuration-rejected",
                             {{"reason", std::string_view(decoded.error().message)},
                              {"row_version", static_cast<std::int64_t>(it.version)}});
        }
    }
}

void StoreChanges::applyConfiguration(ServingConfiguration decoded, const DecodingCost &cost)
{
    const auto previousRevision = m_core.activeConfiguration ? m_core.activeConfiguration->configuration->revision : 0;
    if (m_core.activeConfiguration && decoded.revision <= previousRevision) {
        return;
    }
    m_core.activeConfiguration = std::make_shared<const ActiveConfiguration>(
        std::make_shared<const ServingConfiguration>(std::move(decoded)), m_hashSeed);
    const auto &configuration = *m_core.activeConfiguration->configuration;
    m_core.rateLimiter.configure(configuration, m_core.clock.now());
    m_core.connectionDivision.configure(configuration);
    m_core.promptSavings.configure(configuration);
    m_core.log.write(Event::ConfigurationAdopted,
                     Severity::Info,
                     "configuration-adopted",
                     {{"revision", static_cast<std::int64_t>(configuration.revision)},
                      {"former", static_cast<std::int64_t>(previousRevision)},
                      {"routes", static_cast<std::int64_t>(configuration.routes.size())},
                      {"customers", static_cast<std::int64_t>(configuration.customers.size())},
                      {"bytes", static_cast<std::int64_t>(cost.bytes)},
                      {"decode_ms", milliseconds(m_core.clock.now() - cost.startedAt)},
                      {"needs_keys", m_core.activeConfiguration->customers.requiresKey()}});
}

std::optional<EngineRecord> StoreChanges::decodeEngineRow(const TableRow &row)
{
    auto engine = m_core.adapter.decodeEngine(row.key, row.value.value_or(""));
    if (engine) {
        return engine.value();
    }
    m_core.log.write(Event::EngineRecordRejected,
                     Severity::Warning,
                     "engine-record-rejected",
                     {{"engine", std::string_view(row.key)}, {"reason", std::string_view(engine.error().message)}});
    return std::nullopt;
}

void StoreChanges::engineChanged(const TableRow &row)
{
    const EngineName name(row.key);
    const auto engine = row.value ? decodeEngineRow(row) : std::nullopt;
    if (!engine) {
        m_core.engines.remove(name, m_core.clock.now());
        engineRemoved(name, row.value ? "record-rejected" : "registration-removed");
        return;
    }
    noteVersion(*engine);
    m_core.engines.put(*engine);
    m_core.log.write(Event::EngineListed,
                     Severity::Info,
                     "engine-listed",
                     {{"engine", std::string_view(name.text())},
                      {"service", std::string_view(engine->service.text())},
                      {"version", std::string_view(engine->softwareVersion)},
                      {"leaving", engine->isLeaving},
                      {"row_version", static_cast<std::int64_t>(row.version)}});
}

/// To be called with a registration before it replaces the one that is known.
void StoreChanges::noteVersion(const EngineRecord &engine)
{
    m_engineSeen(engine);
    const auto *former = m_core.engines.find(engine.name);
    if (former == nullptr || buildOf(*former) == buildOf(engine)) {
        return;
    }
    const auto now = m_core.clock.now();
    const auto doubtful = m_core.streams.buildChanged(*former, m_core.engines.readAsOf().value_or(now));
    m_core.log.write(Event::EngineVersionChanged,
                     Severity::Warning,
                     "engine-version-changed",
                     {{"engine", std::string_view(engine.name.text())},
                      {"former", std::string_view(former->softwareVersion)},
                      {"version", std::string_view(engine.softwareVersion)},
                      {"doubtful_streams", static_cast<std::int64_t>(doubtful)}});
}

std::size_t StoreChanges::doubtStreams()
{
    const auto now = m_core.clock.now();
    const auto since = m_core.engines.uncertainSince(now);
    std::size_t doubtful = 0;
    for (const auto *it : m_core.engines.all()) {
        if (since && !m_core.engines.isVersionCertain(m_core.continuity.connectedSince(it->name), now)) {
            doubtful += m_core.streams.doubt(*it, *since);
        }
    }
    return doubtful;
}

void StoreChanges::engineRemoved(const EngineName &name, std::string_view reason)
{
    const bool isKept = m_core.engines.find(name) != nullptr;
    if (!isKept) {
        m_core.continuity.forget(name);
        m_core.health.forget(name);
        m_core.placer->forget(name);
        m_core.promptSavings.forget(name);
    }
    m_core.log.write(Event::EngineGone,
                     Severity::Info,
                     "engine-gone",
                     {{"engine", std::string_view(name.text())}, {"reason", reason}, {"kept_for_now", isKept}});
}

void StoreChanges::enginesListed(const std::vector<TableRow> &rows, ListCause cause)
{
    std::vector<EngineRecord> engines;
    for (const auto &it : rows) {
        if (auto engine = decodeEngineRow(it)) {
            noteVersion(*engine);
            engines.push_back(std::move(*engine));
        }
    }
    const auto now = m_core.clock.now();
    const bool isRestored = cause == ListCause::StoreRestored;
    for (const auto &it :
         isRestored ? m_core.engines.replaceAfterRestore(engines, now) : m_core.engines.replace(engines, now)) {
        engineRemoved(it, "registration-missing");
    }
    m_haveEnginesBeenListed = true;
    m_core.log.write(Event::EngineListed,
                     Severity::Info,
                     "engines-read",
                     {{"rows", static_cast<std::int64_t>(rows.size())},
                      {"engines", static_cast<std::int64_t>(m_core.engines.size())}});
}

void StoreChanges::enginesChanged(const std::vector<TableRow> &rows)
{
    for (const auto &it : rows) {
        engineChanged(it);
    }
}

bool StoreChanges::haveEnginesBeenListed() const
{
    return m_haveEnginesBeenListed;
}

} // namespace monsoonward
