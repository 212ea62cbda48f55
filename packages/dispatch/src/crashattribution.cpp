#include "crashattribution.h"

#include <set>

namespace monsoonward
{

namespace
{

std::set<EngineRun> countingRuns(const std::map<EngineRun, LiveCrash> &crashes)
{
    std::set<EngineRun> runs;
    for (const auto &[run, crash] : crashes) {
        if (crash.counts) {
            runs.insert(run);
        }
    }
    return runs;
}

CrashVerdict unexplainedCrashes(const std::map<EngineRun, LiveCrash> &crashes)
{
    CrashVerdict verdict;
    verdict.unexplained = crashes.size();
    for (const auto &[run, crash] : crashes) {
        if (crash.counts) {
            verdict.newestCrashAt = std::max(crash.time, verdict.newestCrashAt.value_or(crash.time));
        }
    }
    return verdict;
}

/// @return the runs at which the next culprit was in progress; empty if there is no further one
std::set<EngineRun> runsOfNextCulprit(const CrashesByTrait &crashes, TimePoint now)
{
    std::set<EngineRun> most;
    for (const auto &[trait, ownCrashes] : crashes) {
        if (ownCrashes.size() < CrashSuspects::crashesToRefuse || ownCrashes.size() <= most.size()) {
            continue;
        }
        auto runs = countingRuns(ownCrashes);
        if (runs.size() >= CrashSuspects::crashesToRefuse && runs.size() > most.size()
            && *unexplainedCrashes(ownCrashes).newestCrashAt + CrashSuspects::refusalTime > now) {
            most = std::move(runs);
        }
    }
    return most;
}

} // namespace

std::map<RequestTrait, CrashVerdict> attributeCrashes(CrashesByTrait crashes, TimePoint now)
{
    std::map<RequestTrait, CrashVerdict> verdicts;
    for (std::size_t group = 0;; ++group) {
        const auto runs = runsOfNextCulprit(crashes, now);
        if (runs.empty()) {
            break;
        }
        std::set<EngineRun> explained;
        std::vector<RequestTrait> culprits;
        for (auto it = crashes.begin(); it != crashes.end();) {
            if (it->second.size() < runs.size() || countingRuns(it->second) != runs) {
                ++it;
                continue;
            }
            auto verdict = unexplainedCrashes(it->second);
            verdict.isCulprit = true;
            verdict.group = group;
            verdicts[it->first] = verdict;
            culprits.push_back(it->first);
            for (const auto &[run, crash] : it->second) {
                explained.insert(run);
            }
            it = crashes.erase(it);
        }
        for (const auto trait : culprits) {
            verdicts[trait].groupSize = culprits.size();
        }
        for (auto &[trait, ownCrashes] : crashes) {
            for (const auto run : explained) {
                ownCrashes.erase(run);
            }
        }
    }
    for (const auto &[trait, ownCrashes] : crashes) {
        verdicts[trait] = unexplainedCrashes(ownCrashes);
    }
    return verdicts;
}

} // namespace monsoonward
