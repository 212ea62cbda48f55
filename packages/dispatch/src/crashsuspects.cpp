#include "monsoonward/dispatch/crashsuspects.h"

#include "crashattribution.h"

#include <algorithm>
#include <set>
#include <utility>

namespace monsoonward
{

bool CrashSuspects::Suspect::isLive(const Observation &observation) const
{
    return !observation.isRefuted && (!completedAt || observation.time > *completedAt);
}

CrashSuspects::CrashSuspects(double spread)
    : m_spread(spread)
{
}

bool CrashSuspects::isEmpty() const
{
    return m_suspects.empty();
}

void CrashSuspects::crashObserved(const std::vector<RequestTrait> &traits, EngineRun run, TimePoint now)
{
    for (const auto trait : traits) {
        const auto [found, isNew] = m_suspects.try_emplace(trait);
        auto &suspect = found->second;
        suspect.hadCompleted = suspect.hadCompleted || (isNew && hasCompleted(trait));
        if (suspect.crashes.emplace(run, Observation {now}).second) {
            suspect.lastCrashAt = now;
            m_refutable[run] = now;
            m_hasNews = true;
            markChanged();
        }
    }
    dropExcess();
}

void CrashSuspects::engineAnswered(EngineRun run, TimePoint sentAt, TimePoint now)
{
    const auto refutable = m_refutable.find(run);
    if (refutable == m_refutable.end() || refutable->second + refutationWindow < now) {
        return;
    }
    bool isRefuted = false;
    for (auto &[trait, suspect] : m_suspects) {
        const auto it = suspect.crashes.find(run);
        if (it != suspect.crashes.end() && it->second.time < sentAt && now <= it->second.time + refutationWindow) {
            isRefuted = isRefuted || !it->second.isRefuted;
            it->second.isRefuted = true;
        }
    }
    if (refutable->second < sentAt) {
        m_refutable.erase(refutable);
    }
    if (isRefuted) {
        m_hasNews = true;
        markChanged();
    }
}

void CrashSuspects::engineRefusedConnection(EngineRun run, TimePoint /*now*/)
{
    for (auto &[trait, suspect] : m_suspects) {
        const auto it = suspect.crashes.find(run);
        if (it != suspect.crashes.end() && !it->second.isConfirmed) {
            it->second.isConfirmed = true;
            m_hasNews = true;
            markChanged();
        }
    }
}

void CrashSuspects::requestCompleted(const std::vector<RequestTrait> &traits, TimePoint now)
{
    for (const auto trait : traits) {
        rememberCompletion(trait);
        const auto found = m_suspects.find(trait);
        if (found == m_suspects.end()) {
            continue;
        }
        auto &suspect = found->second;
        if (std::any_of(suspect.crashes.begin(), suspect.crashes.end(), [&](const auto &it) {
                return suspect.isLive(it.second);
            })) {
            settle(now);
            suspect.soundToldUntil = now + soundTellTime;
            m_hasNews = true;
            markChanged();
        }
        suspect.completedAt = std::max(now, suspect.completedAt.value_or(now));
        suspect.hadCompleted = true;
    }
}

std::optional<Duration> CrashSuspects::refusedFor(const std::vector<RequestTrait> &traits, TimePoint now) const
{
    struct Group
    {
        std::set<RequestTrait> traits;
        std::size_t size = 0;
        TimePoint newestCrashAt;
    };
    std::map<std::size_t, Group> groups;
    for (const auto trait : traits) {
        const auto *verdict = verdictOn(trait, now);
        if (verdict != nullptr && verdict->isCulprit) {
            auto &group = groups[verdict->group];
            group.traits.insert(trait);
            group.size = verdict->groupSize;
            group.newestCrashAt = std::max(group.newestCrashAt, *verdict->newestCrashAt);
        }
    }
    std::optional<Duration> longest;
    for (const auto &[number, group] : groups) {
        if (now - group.newestCrashAt < testDelay || group.traits.size() * 2 > group.size) {
            const Duration left = group.newestCrashAt + refusalTime - now;
            longest = std::max(left, longest.value_or(left));
        }
    }
    return longest;
}

bool CrashSuspects::mayRetry(const std::vector<RequestTrait> &traits, TimePoint now) const
{
    return std::none_of(traits.begin(), traits.end(), [&](RequestTrait trait) {
        const auto *verdict = verdictOn(trait, now);
        return verdict != nullptr && verdict->unexplained >= 2;
    });
}

std::vector<RequestTrait> CrashSuspects::takeNewlyRefused(TimePoint now)
{
    settle(now);
    return std::exchange(m_newlyRefused, {});
}

std::vector<RequestTrait> CrashSuspects::takeNewlyCleared(TimePoint now)
{
    settle(now);
    return std::exchange(m_newlyCleared, {});
}

CrashEvidence CrashSuspects::evidenceOn(RequestTrait trait) const
{
    const auto suspect = m_suspects.find(trait);
    const auto times = suspect == m_suspects.end() ? std::vector<TimePoint>() : liveCrashes(suspect->second);
    return {times.size(), times.empty() ? Duration::zero() : times.back() - times.front()};
}

std::size_t CrashSuspects::refusedCount(TimePoint now) const
{
    const auto &verdicts = attribution(now).verdicts;
    return static_cast<std::size_t>(
        std::count_if(verdicts.begin(), verdicts.end(), [](const auto &it) { return it.second.isCulprit; }));
}

const CrashSuspects::Attribution &CrashSuspects::attribution(TimePoint now) const
{
    if (m_attribution.isCurrent && now < m_attribution.validUntil) {
        return m_attribution;
    }
    m_attribution.validUntil = TimePoint::max();
    CrashesByTrait crashes;
    for (const auto &[trait, suspect] : m_suspects) {
        for (const auto &[run, observation] : suspect.crashes) {
            if (!suspect.isLive(observation)) {
                continue;
            }
            const auto countsAt = observation.isConfirmed ? observation.time : observation.time + confirmationTimeout;
            crashes[trait][run] = {observation.time, countsAt <= now};
            if (countsAt > now) {
                m_attribution.validUntil = std::min(m_attribution.validUntil, countsAt);
            }
        }
    }
    m_attribution.verdicts = attributeCrashes(std::move(crashes), now);
    for (const auto &[trait, verdict] : m_attribution.verdicts) {
        if (verdict.isCulprit) {
            m_attribution.validUntil = std::min(m_attribution.validUntil, *verdict.newestCrashAt + refusalTime);
        }
    }
    m_attribution.isCurrent = true;
    m_attribution.isSettled = false;
    return m_attribution;
}

const CrashVerdict *CrashSuspects::verdictOn(RequestTrait trait, TimePoint now) const
{
    if (m_suspects.empty()) {
        return nullptr;
    }
    const auto &verdicts = attribution(now).verdicts;
    const auto it = verdicts.find(trait);
    return it == verdicts.end() ? nullptr : &it->second;
}

bool CrashSuspects::isRefusalOver(RequestTrait trait, TimePoint now) const
{
    const auto *verdict = verdictOn(trait, now);
    return verdict != nullptr && verdict->newestCrashAt && *verdict->newestCrashAt + refusalTime <= now;
}

void CrashSuspects::settle(TimePoint now)
{
    if (attribution(now).isSettled) {
        return;
    }
    m_attribution.isSettled = true;
    for (auto &[trait, suspect] : m_suspects) {
        const auto *verdict = verdictOn(trait, now);
        if (verdict != nullptr && verdict->isCulprit) {
            if (!suspect.isRefused) {
                m_newlyRefused.push_back(trait);
            }
            suspect.isRefused = true;
            suspect.isKept = true;
            continue;
        }
        if (suspect.isKept && !isRefusalOver(trait, now)) {
            suspect.isKept = false;
            if (suspect.isRefused) {
                m_newlyCleared.push_back(trait);
            }
        }
        suspect.isRefused = false;
    }
}

void CrashSuspects::markChanged()
{
    m_attribution.isCurrent = false;
}

} // namespace monsoonward
