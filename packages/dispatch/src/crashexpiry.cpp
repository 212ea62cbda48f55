// How CrashSuspects forgets.
#include "monsoonward/dispatch/crashsuspects.h"

#include <algorithm>

namespace monsoonward
{

namespace
{

constexpr std::size_t keptAfterRefusal = CrashSuspects::crashesToRefuse - 1;

} // namespace

void CrashSuspects::expire(TimePoint now)
{
    settle(now);
    for (auto it = m_suspects.begin(); it != m_suspects.end();) {
        auto &suspect = it->second;
        expireObservations(it->first, suspect, now);
        const bool isForgotten =
            suspect.crashes.empty() && (!suspect.completedAt || suspect.lastCrashAt + completionLifetime <= now);
        it = isForgotten ? m_suspects.erase(it) : std::next(it);
    }
    for (auto it = m_refutable.begin(); it != m_refutable.end();) {
        it = it->second + refutationWindow < now ? m_refutable.erase(it) : std::next(it);
    }
}

void CrashSuspects::expireObservations(RequestTrait trait, Suspect &suspect, TimePoint now)
{
    using TimeAndRun = std::pair<TimePoint, EngineRun>;
    std::vector<TimeAndRun> live;
    for (const auto &[run, observation] : suspect.crashes) {
        if (suspect.isLive(observation)) {
            live.emplace_back(observation.time, run);
        }
    }
    std::sort(live.rbegin(), live.rend());
    const bool isKept = suspect.isKept && !live.empty() && live.front().first + keptLifetime > now;
    const bool isReduced = isKept && live.size() > keptAfterRefusal && isRefusalOver(trait, now);
    const auto firstKept = isReduced ? live[keptAfterRefusal - 1] : TimeAndRun {};
    for (auto it = suspect.crashes.begin(); it != suspect.crashes.end();) {
        const auto &[run, observation] = *it;
        const bool isFresh = isKept && suspect.isLive(observation) ? TimeAndRun(observation.time, run) >= firstKept
                                                                   : observation.time + observationLifetime > now;
        if (isFresh) {
            ++it;
            continue;
        }
        it = suspect.crashes.erase(it);
        markChanged();
    }
}

void CrashSuspects::dropExcess()
{
    struct Candidate
    {
        bool isKept;
        TimePoint time;
        RequestTrait trait;
        EngineRun run;
        MONSOONWARD_FIELDS(isKept, time, trait, run)
    };
    std::size_t n = 0;
    for (const auto &[trait, suspect] : m_suspects) {
        n += std::max<std::size_t>(suspect.crashes.size(), 1); // completions without crashes need space, too
    }
    if (n <= maxObservations) {
        return;
    }
    std::vector<Candidate> candidates;
    for (const auto &[trait, suspect] : m_suspects) {
        if (suspect.crashes.empty()) {
            candidates.push_back({false, suspect.lastCrashAt, trait, 0});
        }
        for (const auto &[run, observation] : suspect.crashes) {
            candidates.push_back({suspect.isKept, observation.time, trait, run});
        }
    }
    std::sort(candidates.begin(), candidates.end());
    candidates.resize(n - maxObservations);
    for (const auto &it : candidates) {
        auto &suspect = m_suspects[it.trait];
        suspect.crashes.erase(it.run);
        if (suspect.crashes.empty()) {
            m_suspects.erase(it.trait);
        }
    }
    markChanged();
}

} // namespace monsoonward
