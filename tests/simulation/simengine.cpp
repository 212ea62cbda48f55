#include "simengine.h"

namespace monsoonward
{

namespace
{

constexpr Duration stepLength = std::chrono::milliseconds(10);
constexpr Duration timePerPromptToken = std::chrono::microseconds(200);
constexpr Duration timePerOutputToken = std::chrono::milliseconds(10);
constexpr Duration poisonRunsFor = std::chrono::milliseconds(200);
constexpr int slowness = 10;

} // namespace

SimEngine::SimEngine(EventQueue &queue, SimRecord &record, const EngineName &name, const HostName &host)
    : m_queue(queue)
    , m_record(record)
    , m_name(name)
    , m_host(host)
{
    m_queue.after(stepLength, [this] { step(); });
}

void SimEngine::attach(const ListenerPtr &listener)
{
    m_listener = listener;
    for (auto &[claim, run] : m_runs) {
        run.foreign = true;
    }
    if (const auto daemon = listener.lock()) {
        daemon->engineUp(m_name, m_state != EngineState::Crashed);
    }
    tellRuns();
}

void SimEngine::onCrash(std::function<void(const HostName &)> function)
{
    m_onCrash = std::move(function);
}

void SimEngine::run(const ClaimId &claim, const RequestId &id, const CallerRequest &request)
{
    auto &run = m_runs[claim];
    run.record = m_record.addRun(id, m_host, m_queue.now());
    run.request = request;
    run.left = request.promptTokens * timePerPromptToken + request.outputTokens * timePerOutputToken;
    if (request.poison) {
        run.left = poisonRunsFor;
    }
    if (m_state == EngineState::Crashed) {
        m_queue.after({}, [this, claim] { end(claim, false); });
    }
}

void SimEngine::cancel(const ClaimId &claim)
{
    m_queue.after(stepLength, [this, claim] { end(claim, false); });
}

void SimEngine::setState(EngineState state)
{
    const bool was = m_state != EngineState::Crashed;
    if (state == EngineState::Crashed) {
        crash();
    }
    m_state = state;
    const bool is = state != EngineState::Crashed;
    const auto daemon = m_listener.lock();
    if (was != is && daemon) {
        daemon->engineUp(m_name, is);
    }
}

const EngineName &SimEngine::name() const
{
    return m_name;
}

std::uint32_t SimEngine::running() const
{
    return static_cast<std::uint32_t>(m_runs.size());
}

void SimEngine::step()
{
    m_queue.after(stepLength, [this] { step(); });
    if (m_state == EngineState::Stalled || m_state == EngineState::Crashed) {
        return;
    }
    const auto progress = m_state == EngineState::Slow ? stepLength / slowness : stepLength;
    std::vector<ClaimId> done;
    for (auto &[claim, run] : m_runs) {
        run.left -= progress;
        const auto daemon = m_listener.lock();
        const bool decodes = run.left <= run.request.outputTokens * timePerOutputToken;
        if (decodes && !run.begun && !run.foreign && daemon) {
            run.begun = true;
            daemon->firstToken(claim);
        }
        if (run.left <= Duration {}) {
            done.push_back(claim);
        }
    }
    for (const auto &it : done) {
        const auto run = m_runs.find(it);
        if (run == m_runs.end()) {
            continue;
        }
        if (run->second.request.poison) {
            crash();
            m_state = EngineState::Crashed;
            m_onCrash(m_host);
            return;
        }
        end(it, true);
    }
}

void SimEngine::crash()
{
    while (!m_runs.empty()) {
        end(m_runs.begin()->first, false);
    }
}

void SimEngine::end(ClaimId claim, bool whole) // a copy: callers pass keys of m_runs
{
    const auto it = m_runs.find(claim);
    if (it == m_runs.end()) {
        return;
    }
    const auto run = it->second;
    m_runs.erase(it);
    if (whole) {
        m_record.endRun(run.record);
    }
    const auto daemon = m_listener.lock();
    if (run.foreign) {
        tellRuns();
    } else if (daemon) {
        daemon->finished(claim, whole);
    }
}

void SimEngine::tellRuns()
{
    std::uint32_t foreign = 0;
    for (const auto &[claim, run] : m_runs) {
        foreign += run.foreign ? 1 : 0;
    }
    if (const auto daemon = m_listener.lock()) {
        daemon->foundRuns(m_name, foreign);
    }
}

} // namespace monsoonward
