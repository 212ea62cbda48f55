#include "simengine.h"

namespace monsoonward
{

namespace
{

constexpr Duration stepLength = std::chrono::milliseconds(10);
constexpr Duration timePerPromptToken = std::chrono::microseconds(200);
constexpr Duration timePerOutputToken = std::chrono::milliseconds(10);
constexpr Duration poisonRunTime = std::chrono::milliseconds(200);
constexpr int slowdownFactor = 10;

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
        run.inherited = true;
    }
    if (const auto daemon = listener.lock()) {
        daemon->engineUp(m_name, m_state != EngineState::Crashed);
    }
    reportInheritedRuns();
}

void SimEngine::onCrash(std::function<void(const HostName &)> function)
{
    m_onCrash = std::move(function);
}

void SimEngine::run(const ClaimId &claim, const RequestId &id, const CallerRequest &request)
{
    auto &run = m_runs[claim];
    run.recordIndex = m_record.addRun(id, m_host, m_queue.now());
    run.request = request;
    run.remaining = request.promptTokens * timePerPromptToken + request.outputTokens * timePerOutputToken;
    if (request.poison) {
        run.remaining = poisonRunTime;
    }
    if (m_state == EngineState::Crashed) {
        m_queue.after({}, [this, claim] { finishRun(claim, false); });
    }
}

void SimEngine::cancel(const ClaimId &claim)
{
    m_queue.after(stepLength, [this, claim] { finishRun(claim, false); });
}

void SimEngine::setState(EngineState state)
{
    const bool wasUp = m_state != EngineState::Crashed;
    if (state == EngineState::Crashed) {
        failAllRuns();
    }
    m_state = state;
    const bool isUp = state != EngineState::Crashed;
    const auto daemon = m_listener.lock();
    if (wasUp != isUp && daemon) {
        daemon->engineUp(m_name, isUp);
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
    const auto progress = m_state == EngineState::Slow ? stepLength / slowdownFactor : stepLength;
    std::vector<ClaimId> done;
    for (auto &[claim, run] : m_runs) {
        run.remaining -= progress;
        const auto daemon = m_listener.lock();
        const bool promptDone = run.remaining <= run.request.outputTokens * timePerOutputToken;
        if (promptDone && !run.firstTokenSent && !run.inherited && daemon) {
            run.firstTokenSent = true;
            daemon->firstToken(claim);
        }
        if (run.remaining <= Duration {}) {
            done.push_back(claim);
        }
    }
    for (const auto &it : done) {
        const auto run = m_runs.find(it);
        if (run == m_runs.end()) {
            continue;
        }
        if (run->second.request.poison) {
            failAllRuns();
            m_state = EngineState::Crashed;
            m_onCrash(m_host);
            return;
        }
        finishRun(it, true);
    }
}

void SimEngine::failAllRuns()
{
    while (!m_runs.empty()) {
        finishRun(m_runs.begin()->first, false);
    }
}

void SimEngine::finishRun(ClaimId claim, bool completed)
{
    const auto it = m_runs.find(claim);
    if (it == m_runs.end()) {
        return;
    }
    const auto run = it->second;
    m_runs.erase(it);
    if (completed) {
        m_record.markRunCompleted(run.recordIndex);
    }
    const auto daemon = m_listener.lock();
    if (run.inherited) {
        reportInheritedRuns();
    } else if (daemon) {
        daemon->finished(claim, completed);
    }
}

void SimEngine::reportInheritedRuns()
{
    std::uint32_t inherited = 0;
    for (const auto &[claim, run] : m_runs) {
        inherited += run.inherited ? 1 : 0;
    }
    if (const auto daemon = m_listener.lock()) {
        daemon->inheritedRuns(m_name, inherited);
    }
}

} // namespace monsoonward
