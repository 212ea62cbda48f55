#include "monsoonward/dispatch/enginehealth.h"

#include <algorithm>

namespace monsoonward
{

namespace
{

constexpr double sampleWeight = 0.1; // of one request in the failure rate, which averages over about ten requests
constexpr unsigned pauseThreshold = 2; // consecutive failures; a single one may be caused by the request
constexpr double requestedPauseWeight = 0.5; // of a rejection with a pause in the failure rate
constexpr Duration probeTimeout = std::chrono::seconds(1); // a probe without a result blocks the next one for this long

} // namespace

bool EngineHealth::isAvailable(const EngineName &engine, TimePoint now) const
{
    const auto it = m_states.find(engine);
    if (it == m_states.end()) {
        return true;
    }
    const auto &state = it->second;
    if (now < state.requestedPauseUntil) {
        return false;
    }
    return state.failures < pauseThreshold
        || (now >= state.pausedUntil && (!state.isProbing || now - state.probedAt >= probeTimeout));
}

void EngineHealth::recordRequestedPause(const EngineName &engine, Duration length, TimePoint now)
{
    auto &state = m_states[engine];
    state.requestedPauseUntil =
        std::max(state.requestedPauseUntil, now + std::clamp(length, Duration::zero(), maxRequestedPause));
    state.failures = std::max(state.failures, pauseThreshold);
    state.isProbing = false;
    state.failureRate += requestedPauseWeight * (1 - state.failureRate);
}

TimePoint EngineHealth::pausedUntil(const EngineName &engine) const
{
    const auto it = m_states.find(engine);
    return it == m_states.end() ? TimePoint() : std::max(it->second.pausedUntil, it->second.requestedPauseUntil);
}

void EngineHealth::recordAttempt(const EngineName &engine, TimePoint now)
{
    const auto it = m_states.find(engine);
    if (it != m_states.end() && it->second.failures >= pauseThreshold) {
        it->second.isProbing = true;
        it->second.probedAt = now;
    }
}

void EngineHealth::recordSuccess(const EngineName &engine)
{
    const auto it = m_states.find(engine);
    if (it != m_states.end()) {
        it->second.failures = 0;
        it->second.isProbing = false;
        it->second.failureRate *= 1 - sampleWeight;
    }
}

bool EngineHealth::recordFailure(const EngineName &engine, TimePoint now)
{
    auto &state = m_states[engine];
    ++state.failures;
    state.isProbing = false;
    state.failureRate += sampleWeight * (1 - state.failureRate);
    if (state.failures < pauseThreshold) {
        return false;
    }
    constexpr unsigned maxDoublings = 4;
    const auto doublings = std::min(state.failures - pauseThreshold, maxDoublings);
    state.pausedUntil = now + std::min(initialPause * (1U << doublings), maxPause);
    return state.failures == pauseThreshold;
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
