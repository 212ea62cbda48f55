#include "monsoonward/dispatch/enginehealth.h"

#include <algorithm>

namespace monsoonward
{

namespace
{

constexpr double newestWeight = 0.1; // of a request in the failure rate: it looks back over about ten requests
constexpr unsigned failuresToPause = 2; // a single failure may be the request's fault
constexpr Duration trialBound = std::chrono::seconds(1); // a trial without outcome doesn't block the next for longer

} // namespace

bool EngineHealth::isAvailable(const EngineName &engine, TimePoint now) const
{
    const auto it = m_states.find(engine);
    if (it == m_states.end() || it->second.failures < failuresToPause) {
        return true;
    }
    const auto &state = it->second;
    return now >= state.pausedUntil && (!state.isTrying || now - state.triedAt >= trialBound);
}

void EngineHealth::recordAttempt(const EngineName &engine, TimePoint now)
{
    const auto it = m_states.find(engine);
    if (it != m_states.end() && it->second.failures >= failuresToPause) {
        it->second.isTrying = true;
        it->second.triedAt = now;
    }
}

void EngineHealth::recordSuccess(const EngineName &engine)
{
    const auto it = m_states.find(engine);
    if (it != m_states.end()) {
        it->second.failures = 0;
        it->second.isTrying = false;
        it->second.failureRate *= 1 - newestWeight;
    }
}

bool EngineHealth::recordFailure(const EngineName &engine, TimePoint now)
{
    auto &state = m_states[engine];
    ++state.failures;
    state.isTrying = false;
    state.failureRate += newestWeight * (1 - state.failureRate);
    if (state.failures < failuresToPause) {
        return false;
    }
    constexpr unsigned mostDoublings = 4;
    const auto doublings = std::min(state.failures - failuresToPause, mostDoublings);
    state.pausedUntil = now + std::min(firstPause * (1U << doublings), longestPause);
    return state.failures == failuresToPause;
}

double EngineHealth::failureRate(const EngineName &engine) const
{
    const auto it = m_states.find(engine);
    return it == m_states.end() ? 0 : it->second.failureRate;
}

void EngineHealth::forget(const EngineName &engine)
{
    m_states.erase(engine);
}

} // namespace monsoonward
