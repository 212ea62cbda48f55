#include "engineprobe.h"

namespace monsoonward
{

namespace
{
constexpr auto probeInterval = std::chrono::seconds(1);
} // namespace

EngineProbe::EngineProbe(EngineClient &client, std::function<void(const EngineState &)> onState)
    : m_client(client)
    , m_onState(std::move(onState))
{
}

EngineProbe::~EngineProbe()
{
    stop();
}

void EngineProbe::setEngines(const std::vector<ProbedEngine> &engines)
{
    const std::lock_guard lock(m_mutex);
    m_engines = std::set<ProbedEngine>(engines.begin(), engines.end());
    for (const auto &it : m_engines) {
        if (!m_stopping && m_probed.insert(it).second) {
            m_threads.emplace_back([this, engine = it] { run(engine); });
        }
    }
    m_changed.notify_all();
}

void EngineProbe::stop()
{
    std::vector<std::thread> threads;
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
        threads.swap(m_threads);
    }
    m_changed.notify_all();
    for (auto &it : threads) {
        it.join();
    }
}

void EngineProbe::run(const ProbedEngine &engine)
{
    bool wasReached = false;
    std::unique_lock lock(m_mutex);
    while (isConfigured(engine)) {
        lock.unlock();
        auto state = probe(engine);
        state.firstContact = state.up && !wasReached;
        wasReached = wasReached || state.up;
        m_onState(state);
        lock.lock();
        m_changed.wait_for(lock, probeInterval, [&] { return !isConfigured(engine); });
    }
    m_probed.erase(engine);
}

bool EngineProbe::isConfigured(const ProbedEngine &engine) const
{
    return !m_stopping && m_engines.count(engine) != 0;
}

EngineState EngineProbe::probe(const ProbedEngine &engine)
{
    EngineState state;
    state.name = engine.name;
    if (engine.kind == ServiceKind::Plain) {
        state.up = m_client.isReachable(engine.address);
        return state;
    }
    const auto load = m_client.queryLoad(engine.address);
    state.up = load || load.error().code == ErrorCode::NotFound;
    if (load) {
        state.load = load.value();
    }
    return state;
}

} // namespace monsoonward
