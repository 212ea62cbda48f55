#include "engineprobe.h"

namespace monsoonward
{

namespace
{
constexpr auto probeInterval = std::chrono::seconds(1);
} // namespace

EngineProbe::EngineProbe(EngineClient &client, std::function<void(const EngineState &)> found)
    : m_client(client)
    , m_found(std::move(found))
{
}

EngineProbe::~EngineProbe()
{
    stop();
}

void EngineProbe::watch(const std::vector<ProbedEngine> &engines)
{
    const std::lock_guard lock(m_mutex);
    m_wanted = std::set<ProbedEngine>(engines.begin(), engines.end());
    for (const auto &it : m_wanted) {
        if (!m_stopping && m_running.insert(it).second) {
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
    bool reached = false;
    std::unique_lock lock(m_mutex);
    while (wanted(engine)) {
        lock.unlock();
        auto state = probe(engine);
        state.first = state.up && !reached;
        reached = reached || state.up;
        m_found(state);
        lock.lock();
        m_changed.wait_for(lock, probeInterval, [&] { return !wanted(engine); });
    }
    m_running.erase(engine);
}

bool EngineProbe::wanted(const ProbedEngine &engine) const
{
    return !m_stopping && m_wanted.count(engine) != 0;
}

EngineState EngineProbe::probe(const ProbedEngine &engine)
{
    EngineState state;
    state.name = engine.name;
    if (engine.kind == ServiceKind::Plain) {
        state.up = m_client.reachable(engine.address);
        return state;
    }
    const auto load = m_client.load(engine.address);
    state.up = load || load.error().code == ErrorCode::NotFound;
    if (load) {
        state.load = load.value();
    }
    return state;
}

} // namespace monsoonward
