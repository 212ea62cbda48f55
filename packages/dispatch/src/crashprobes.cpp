// How CrashSuspects lets single requests find out whether a refused trait still crashes engines.
#include "monsoonward/dispatch/crashsuspects.h"

#include <algorithm>

namespace monsoonward
{

std::optional<Duration> CrashSuspects::probeAllowedIn(const std::vector<RequestTrait> &traits, TimePoint now) const
{
    const auto whole = traits.empty() ? m_suspects.end() : m_suspects.find(traits.front());
    if (whole != m_suspects.end() && !mayProbe(whole->second)) {
        return std::nullopt;
    }
    auto at = now;
    for (const auto trait : traits) {
        const auto *verdict = verdictOn(trait, now);
        if (verdict != nullptr && verdict->isCulprit) {
            at = std::max(at, probeAllowedAt(m_suspects.at(trait)));
        }
    }
    return at - now;
}

Duration CrashSuspects::retryIn(const std::vector<RequestTrait> &traits, TimePoint now) const
{
    const auto left = refusedFor(traits, now).value_or(Duration::zero());
    const auto allowedIn = probeAllowedIn(traits, now);
    const bool hadAllCompleted = std::all_of(traits.begin(), traits.end(), [&](RequestTrait trait) {
        const auto *verdict = verdictOn(trait, now);
        return verdict == nullptr || !verdict->isCulprit || m_suspects.at(trait).hadCompleted;
    });
    return allowedIn && hadAllCompleted ? std::min(left, *allowedIn) : left;
}

void CrashSuspects::probeStarted(const std::vector<RequestTrait> &traits, TimePoint now)
{
    setProbedUntil(traits, now + probeTimeout, now);
}

void CrashSuspects::probeNotSent(const std::vector<RequestTrait> &traits, TimePoint now)
{
    setProbedUntil(traits, now, now);
}

void CrashSuspects::setProbedUntil(const std::vector<RequestTrait> &traits, TimePoint until, TimePoint now)
{
    for (const auto trait : traits) {
        const auto *verdict = verdictOn(trait, now);
        if (verdict != nullptr && verdict->isCulprit) {
            m_suspects.at(trait).probedUntil = until;
        }
    }
}

/// @return the times of the crashes that count or will, in order
std::vector<TimePoint> CrashSuspects::liveCrashes(const Suspect &suspect) const
{
    std::vector<TimePoint> times;
    for (const auto &[run, observation] : suspect.crashes) {
        if (suspect.isLive(observation)) {
            times.push_back(observation.time);
        }
    }
    std::sort(times.begin(), times.end());
    return times;
}

std::size_t CrashSuspects::failedProbes(const Suspect &suspect) const
{
    // Engines that crash within a moment do so for one reason, whatever it is.
    const auto times = liveCrashes(suspect);
    std::size_t later = 0;
    for (std::size_t n = 1; n < times.size(); ++n) {
        later += times[n] - times[n - 1] >= shortProbePause ? 1 : 0;
    }
    return later;
}

bool CrashSuspects::mayProbe(const Suspect &whole) const
{
    return whole.hadCompleted ? failedProbes(whole) < maxFailedProbesOfRequest
                              : liveCrashes(whole).size() <= maxCrashesOfProbe;
}

TimePoint CrashSuspects::probeAllowedAt(const Suspect &suspect) const
{
    const auto doublings = std::min(failedProbes(suspect), maxProbeDoublings);
    const Duration pause =
        (suspect.hadCompleted ? shortProbePause : longProbePause) * static_cast<int>(1U << doublings);
    const auto spread = std::chrono::duration_cast<Duration>(pause * m_spread);
    return std::max(suspect.probedUntil, suspect.lastCrashAt + std::min(pause + spread, refusalTime));
}

void CrashSuspects::rememberCompletion(RequestTrait trait)
{
    if (m_completed.insert(trait).second && m_completed.size() >= minCompletionsKept) {
        m_formerlyCompleted = std::exchange(m_completed, {});
    }
}

bool CrashSuspects::hasCompleted(RequestTrait trait) const
{
    return m_completed.count(trait) != 0 || m_formerlyCompleted.count(trait) != 0;
}

} // namespace monsoonward
