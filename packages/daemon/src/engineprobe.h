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

/// @brief An engine to ask for its load.
struct ProbedEngine
{
    EngineName name;
    Address address;
    ServiceKind kind = ServiceKind::Model;
    MONSOONWARD_FIELDS(name, address, kind)
};

/// @brief What a probe of an engine found.
struct EngineState
{
    EngineName name;
    bool up = false;
    bool first = false; ///< the first probe of this engine that reached it
    std::optional<EngineLoad> load; ///< nothing: the engine doesn't tell
    MONSOONWARD_FIELDS(name, up, first, load)
};

/// @brief Asks each engine for its load every second, on a thread for each.
class EngineProbe
{
public:
    /// @param found called on the probes' threads
    EngineProbe(EngineClient &client, std::function<void(const EngineState &)> found);
    ~EngineProbe();
    EngineProbe(const EngineProbe &) = delete;
    EngineProbe &operator=(const EngineProbe &) = delete;

    /// Probes exactly @p engines from now on.
    void watch(const std::vector<ProbedEngine> &engines);
    void stop();

private:
    void run(const ProbedEngine &engine);
    bool wanted(const ProbedEngine &engine) const;
    EngineState probe(const ProbedEngine &engine);

    EngineClient &m_client;
    std::function<void(const EngineState &)> m_found;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::set<ProbedEngine> m_wanted;
    std::set<ProbedEngine> m_running;
    std::vector<std::thread> m_threads;
    bool m_stopping = false;
};

} // namespace monsoonward
