#include "monsoonward/dispatch/promptsavings.h"

#include <algorithm>

namespace monsoonward
{

PromptSavings::PromptSavings(Duration reuseWindow)
    : m_isEnabled(reuseWindow > Duration::zero())
    , m_held(reuseWindow)
{
}

void PromptSavings::configure(const ServingConfiguration &configuration)
{
    m_memoryTokens.clear();
    for (const auto &it : configuration.services) {
        if (it.memoryTokens > 0) {
            m_memoryTokens[it.name] = it.memoryTokens;
        }
    }
}

bool PromptSavings::isPossible(const ServiceName &service) const
{
    return m_isEnabled && m_memoryTokens.count(service) != 0;
}

void PromptSavings::requestSent(const EngineRecord &engine, const PromptBeginnings &prompt, TimePoint now)
{
    if (prompt.empty() || !isPossible(engine.service)) {
        return;
    }
    const auto run = runOf(engine);
    const auto [it, isNew] = m_runs.emplace(engine.name, run);
    if (!isNew && it->second != run) {
        m_held.forget(it->second);
        it->second = run;
    }
    m_held.requestSent(run, prompt, now);
}

void PromptSavings::firstBytesReceived(const ServiceName &service, double tokensRead, Duration length)
{
    if (isPossible(service)) {
        m_prefill.learn(service, tokensRead, length);
    }
}

PromptSaving PromptSavings::savingAt(const EngineRecord &engine,
                                     const PromptBeginnings &prompt,
                                     const EngineUse &use,
                                     double slowness,
                                     TimePoint now) const
{
    const auto memory = m_memoryTokens.find(engine.service);
    if (!m_isEnabled || prompt.empty() || memory == m_memoryTokens.end()) {
        return {};
    }
    const double all = std::max(1.0, use.inProgress);
    const double own = std::max(1.0, use.own);
    const EngineMemory state {memory->second, use.inProgress * m_held.meanPromptTokens(), std::min(1.0, own / all)};
    const double tokens = m_held.expectedTokens(runOf(engine), prompt, state, now);
    const auto time = std::chrono::duration<double>(m_prefill.timeToRead(engine.service, tokens)) * slowness;
    return {tokens, std::chrono::duration_cast<Duration>(time)};
}

void PromptSavings::forget(const EngineName &engine)
{
    const auto it = m_runs.find(engine);
    if (it != m_runs.end()) {
        m_held.forget(it->second);
        m_runs.erase(it);
    }
}

} // namespace monsoonward
