#pragma once

#include "engineclient.h"

#include <monsoonward/values/values.h>

#include <condition_variable>
#include <functional>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

namespace monsoonward
{

/// @brief An engine to probe.
struct ProbedEngine
{
    EngineName name;
    Address address;
    ServiceKind kind = ServiceKind::Model;
    MONSOONWARD_FIELDS(name, address, kind)
};

/// @brief The result of a probe.
struct EngineState
{
    EngineName name;
    bool up = false;
    bool firstContact = false; ///< this is the first successful probe of the engine
    std::optional<EngineLoad> load; ///< empty if the engine does not report its load
    MONSOONWARD_FIELDS(name, up, firstContact, load)
};

/// @brief Probes each engine every second, on a thread per engine, for its load and whether it is reachable.
class EngineProbe
{
public:
    /// @param onState called with the result of each probe, on the thread of the engine
    EngineProbe(EngineClient &client, std::function<void(const EngineState &)> onState);
    ~EngineProbe();
    EngineProbe(const EngineProbe &) = delete;
    EngineProbe &operator=(const EngineProbe &) = delete;

    /// Replaces the set of probed engines.
    void setEngines(const std::vector<ProbedEngine> &engines);
    void stop();

private:
    void run(const ProbedEngine &engine);
    bool isConfigured(const ProbedEngine &engine) const;
    EngineState probe(const ProbedEngine &engine);

    EngineClient &m_client;
    std::function<void(const EngineState &)> m_onState;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::set<ProbedEngine> m_engines;
    std::set<ProbedEngine> m_probed;
    std::vector<std::thread> m_threads;
    bool m_stopping = false;
};

} // namespace monsoonward
