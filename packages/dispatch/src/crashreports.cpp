// The exchange of CrashSuspects with other gateways.
#include "monsoonward/dispatch/crashsuspects.h"

#include <algorithm>

namespace monsoonward
{

namespace
{

constexpr std::size_t reportedOfRefused = 4;
// Observations that are about to expire aren't taken from reports, or gateways would pass them on to each other
// without end.
constexpr Duration expiryMargin = std::chrono::seconds(5);

struct ReportedCrash
{
    bool isRest; // not among the newest of a refused trait
    Duration groupAge; // a refused trait is reported as a whole
    CrashObservation crash;

    bool operator<(const ReportedCrash &other) const
    {
        return std::tie(isRest, groupAge, crash.trait, crash.age, crash.run)
            < std::tie(other.isRest, other.groupAge, other.crash.trait, other.crash.age, other.crash.run);
    }
};

} // namespace

std::optional<CrashReport> CrashSuspects::reportIfDue(TimePoint now)
{
    if (isEmpty() || (!m_hasNews && now - m_lastReportAt < reportInterval)) {
        return std::nullopt;
    }
    settle(now);
    auto report = makeReport(now);
    m_hasNews = false;
    if (report.isEmpty()) {
        return std::nullopt;
    }
    m_lastReportAt = now;
    return report;
}

void CrashSuspects::addReport(const CrashReport &report, TimePoint now)
{
    bool isChanged = false;
    for (const auto &it : report.crashes) {
        isChanged = addCrash(it, now) || isChanged;
    }
    for (const auto &it : report.sound) {
        addSound(it, now);
    }
    if (isChanged) {
        spreadRefutations();
        markChanged();
    }
    dropExcess();
}

/// @return whether the report says something new
bool CrashSuspects::addCrash(const CrashObservation &crash, TimePoint now)
{
    const auto age = std::max(crash.age, Duration::zero());
    const auto lifetime = crash.isOfRefused ? keptLifetime : observationLifetime;
    const auto found = m_suspects.find(crash.trait);
    const bool isKnown = found != m_suspects.end() && found->second.crashes.count(crash.run) != 0;
    if (age > (isKnown ? lifetime : lifetime - expiryMargin)) {
        return false;
    }
    const auto time = now - age;
    auto &suspect = m_suspects[crash.trait];
    suspect.hadCompleted = suspect.hadCompleted || (suspect.crashes.empty() && hasCompleted(crash.trait));
    auto &observation = suspect.crashes.emplace(crash.run, Observation {time}).first->second;
    const bool isNews = !isKnown || time < observation.time || (crash.isConfirmed && !observation.isConfirmed)
        || (crash.isRefuted && !observation.isRefuted) || (crash.isOfRefused && !suspect.isKept);
    observation.time = std::min(observation.time, time);
    observation.isConfirmed = observation.isConfirmed || crash.isConfirmed;
    observation.isRefuted = observation.isRefuted || crash.isRefuted;
    suspect.isKept = suspect.isKept || crash.isOfRefused;
    suspect.lastCrashAt = std::max(suspect.lastCrashAt, time);
    if (!isKnown) {
        auto &newest = m_refutable[crash.run];
        newest = std::max(newest, time);
    }
    if (!crash.isRefuted && suspect.completedAt && observation.time <= *suspect.completedAt) {
        // The peer doesn't know of the completion, or its clock puts it before the crash.
        suspect.completedAt = std::max(*suspect.completedAt, time);
        suspect.soundToldUntil = now + soundTellTime;
        m_hasNews = true;
    }
    return isNews;
}

void CrashSuspects::addSound(const SoundObservation &sound, TimePoint now)
{
    const auto age = std::max(sound.age, Duration::zero());
    if (age > completionLifetime - expiryMargin) {
        return;
    }
    const auto time = now - age;
    // A report with the observations that the completion concerns may arrive later.
    auto &suspect = m_suspects[sound.trait];
    suspect.lastCrashAt = suspect.crashes.empty() ? std::max(suspect.lastCrashAt, time) : suspect.lastCrashAt;
    if (suspect.completedAt && time <= *suspect.completedAt) {
        return;
    }
    if (std::any_of(suspect.crashes.begin(), suspect.crashes.end(), [&](const auto &it) {
            return suspect.isLive(it.second) && it.second.time <= time;
        })) {
        markChanged();
    }
    suspect.completedAt = time;
    suspect.hadCompleted = true;
}

/// A run that was alive after an observation had not crashed before it either, whichever traits were in progress.
void CrashSuspects::spreadRefutations()
{
    std::unordered_map<EngineRun, TimePoint> refutedAt;
    for (const auto &[trait, suspect] : m_suspects) {
        for (const auto &[run, observation] : suspect.crashes) {
            if (observation.isRefuted) {
                auto &newest = refutedAt[run];
                newest = std::max(newest, observation.time);
            }
        }
    }
    for (auto &[trait, suspect] : m_suspects) {
        for (auto &[run, observation] : suspect.crashes) {
            const auto it = refutedAt.find(run);
            observation.isRefuted = observation.isRefuted
                || (it != refutedAt.end() && observation.time <= it->second
                    && it->second - observation.time <= refutationWindow);
        }
    }
}

CrashReport CrashSuspects::makeReport(TimePoint now) const
{
    std::vector<ReportedCrash> crashes;
    CrashReport report;
    for (const auto &[trait, suspect] : m_suspects) {
        std::vector<ReportedCrash> own;
        for (const auto &[run, it] : suspect.crashes) {
            const bool isLive = suspect.isLive(it);
            if (isLive || it.isRefuted) {
                const auto age = now - it.time;
                const bool isOfRefused = isLive && suspect.isKept;
                own.push_back(
                    {!isLive || !suspect.isRefused, age, {trait, run, age, it.isRefuted, it.isConfirmed, isOfRefused}});
            }
        }
        std::sort(own.begin(), own.end());
        for (std::size_t n = 0; n < own.size(); ++n) {
            own[n].isRest = own[n].isRest || n >= reportedOfRefused;
            own[n].groupAge = own[n].isRest ? own[n].groupAge : own.front().crash.age;
        }
        crashes.insert(crashes.end(), own.begin(), own.end());
        if (suspect.completedAt && suspect.soundToldUntil > now) {
            report.sound.push_back({trait, now - *suspect.completedAt});
        }
    }
    std::sort(crashes.begin(), crashes.end());
    crashes.resize(std::min(crashes.size(), maxReported));
    for (const auto &it : crashes) {
        report.crashes.push_back(it.crash);
    }
    std::sort(report.sound.begin(), report.sound.end(), [](const auto &a, const auto &b) {
        return std::tie(a.age, a.trait) < std::tie(b.age, b.trait);
    });
    report.sound.resize(std::min(report.sound.size(), maxReported));
    return report;
}

} // namespace monsoonward
