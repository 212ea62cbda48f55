#pragma once

#include "monsoonward/dispatch/enginerun.h"

#include <map>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace monsoonward
{

/// Hash of something that several requests may have in common, such as a part of their prompts.
using RequestTrait = std::uint64_t;

/// @brief A request with the trait was in progress when a connection to the run ended.
struct CrashObservation
{
    RequestTrait trait = 0;
    EngineRun run = 0;
    Duration age {};
    bool isRefuted = false; ///< the run answered afterwards, so it hadn't crashed
    bool isConfirmed = false; ///< the run refused a connection afterwards
    bool isOfRefused = false; ///< the trait is refused or was: the observation is kept for longer
    MONSOONWARD_FIELDS(trait, run, age, isRefuted, isConfirmed, isOfRefused)
};

/// @brief A request with the trait got a complete response.
struct SoundObservation
{
    RequestTrait trait = 0;
    Duration age {};
    MONSOONWARD_FIELDS(trait, age)
};

/// @brief What a gateway tells the others about crashes.
struct CrashReport
{
    std::vector<CrashObservation> crashes {};
    std::vector<SoundObservation> sound {};
    MONSOONWARD_FIELDS(crashes, sound)

    bool isEmpty() const
    {
        return crashes.empty() && sound.empty();
    }
};

/// @brief What the known crashes say about one trait.
struct CrashVerdict
{
    bool isCulprit = false;
    std::optional<TimePoint> newestCrashAt {}; ///< of those that count and that no culprit explains
    std::size_t unexplained = 0; ///< crashes that no other trait explains, also those that don't count yet
    std::size_t group = 0; ///< number of the group of culprits that can't be told apart
    std::size_t groupSize = 0;
    MONSOONWARD_FIELDS(isCulprit, newestCrashAt, unexplained, group, groupSize)
};

/// @brief The crashes at which a trait was in progress, for the log.
struct CrashEvidence
{
    std::size_t crashes = 0; ///< since a request with the trait completed; without refuted ones
    Duration within {}; ///< from the first to the last of them
    MONSOONWARD_FIELDS(crashes, within)
};

/// @brief Finds the traits of requests that crash each engine that begins to answer them, so that such requests are
/// refused. A crash also breaks sound requests: a trait is refused if it was in progress at several crashes that no
/// other trait explains, and none of its requests completed afterwards. Gateways that exchange reports reach the same
/// result; observations may arrive in any order, late and repeatedly.
///
/// Engines may also crash for another reason while requests with a trait are in progress at all of them, and then no
/// request completes that would clear it. So refused traits are probed: one request at a time that hasn't crashed
/// engines itself is let through, soon if the trait completed shortly before, and less often after each further crash.
class CrashSuspects
{
public:
    /// A trait is refused after this number of crashes that no other trait explains.
    static constexpr std::size_t crashesToRefuse = 3;
    /// A refusal lasts for this time from the newest crash of the trait.
    static constexpr Duration refusalTime = std::chrono::minutes(5);
    /// For this time after a refusal, one more crash refuses the trait again.
    static constexpr Duration relapseTime = std::chrono::hours(1);
    /// Observations of traits that were never refused are kept for this time.
    static constexpr Duration observationLifetime = std::chrono::seconds(60);
    /// Traits that can't be told apart are all refused for this time from their newest crash. Then requests with at
    /// most half of them are served: the result of one shows which traits are sound.
    static constexpr Duration testDelay = std::chrono::seconds(1);
    /// An observation counts at this age if it isn't confirmed earlier.
    static constexpr Duration confirmationTimeout = std::chrono::milliseconds(300);
    /// A run that answers within this time after an observation had not crashed; later it may have been started anew.
    static constexpr Duration refutationWindow = std::chrono::milliseconds(1500);
    /// A refused trait is probed this long after its newest crash if its requests completed shortly before the crashes,
    /// and after longProbePause otherwise. Each failed probe doubles the pause.
    static constexpr Duration shortProbePause = std::chrono::seconds(1);
    static constexpr Duration longProbePause = std::chrono::seconds(10);
    /// A probe without a result blocks the next one for this long.
    static constexpr Duration probeTimeout = std::chrono::seconds(2);
    static constexpr Duration reportInterval = std::chrono::seconds(1);
    static constexpr std::size_t maxObservations = 4096;
    static constexpr std::size_t maxReported = 64; ///< crashes in a report, and as many sound traits

    /// @param spread 0 to 1, different for each gateway, so that they don't probe at the same time
    explicit CrashSuspects(double spread = 0);

    /// @return whether nothing is known; the other functions, except requestCompleted(), need not be called then until
    /// a crash is observed
    bool isEmpty() const;
    /// A request with these traits was in progress when its connection to the run ended.
    void crashObserved(const std::vector<RequestTrait> &traits, EngineRun run, TimePoint now);
    /// The run began to answer a request that was sent to it at @p sentAt.
    void engineAnswered(EngineRun run, TimePoint sentAt, TimePoint now);
    /// A connection to the run was refused. Confirms the crashes of that run.
    void engineRefusedConnection(EngineRun run, TimePoint now);
    /// A request with these traits got a complete successful response.
    void requestCompleted(const std::vector<RequestTrait> &traits, TimePoint now);
    /// @return the time until the longest refusal among the traits ends; nothing if a request with these traits isn't
    /// refused
    std::optional<Duration> refusedFor(const std::vector<RequestTrait> &traits, TimePoint now) const;
    /// @param traits of a refused request; the first one stands for the request as a whole
    /// @return the time until it may probe its refused traits; nothing if it may not, since it has been in progress at
    /// several crashes itself and never completed, or since several probes with it have failed
    std::optional<Duration> probeAllowedIn(const std::vector<RequestTrait> &traits, TimePoint now) const;
    /// @return the time until a refused request with these traits may be served: until their next probe if they
    /// completed shortly before the crashes, and until the refusal ends otherwise
    Duration retryIn(const std::vector<RequestTrait> &traits, TimePoint now) const;
    /// A request that probes its refused traits is sent.
    void probeStarted(const std::vector<RequestTrait> &traits, TimePoint now);
    /// It couldn't be sent.
    void probeNotSent(const std::vector<RequestTrait> &traits, TimePoint now);
    /// @return whether a request that was broken off may be sent to another engine: false if one of the traits has two
    /// or more crashes that no other trait explains, whether they count already or not
    bool mayRetry(const std::vector<RequestTrait> &traits, TimePoint now) const;
    /// @return traits that are refused since the last call
    std::vector<RequestTrait> takeNewlyRefused(TimePoint now);
    /// @return traits whose refusal ended early since the last call, because a request with them completed or because
    /// their crashes are explained otherwise
    std::vector<RequestTrait> takeNewlyCleared(TimePoint now);
    /// @return the crashes that count against the trait, whether it is refused or not
    CrashEvidence evidenceOn(RequestTrait trait) const;
    /// @return a report for the other gateways when this one observed a change, and then once per reportInterval while
    /// there is anything to tell
    std::optional<CrashReport> reportIfDue(TimePoint now);
    void addReport(const CrashReport &report, TimePoint now);
    /// Drops what is out of date. Call it several times a second.
    void expire(TimePoint now);
    /// @return number of refused traits, including those that can't be told apart
    std::size_t refusedCount(TimePoint now) const;

private:
    static constexpr Duration keptLifetime = refusalTime + relapseTime;
    // Peers that missed a completion refuse the trait for at most refusalTime.
    static constexpr Duration completionLifetime = refusalTime + observationLifetime;
    static constexpr Duration soundTellTime = std::chrono::seconds(3); // so that a lost report doesn't matter

    // Number of traits whose completions are remembered at least. A trait of many requests is among the newest ones as
    // long as such requests complete.
    static constexpr std::size_t minCompletionsKept = 2048;
    static constexpr std::size_t maxProbeDoublings = 8;
    static constexpr std::size_t maxCrashesOfProbe = 1; // of one that never completed
    static constexpr std::size_t maxFailedProbesOfRequest = 3; // that failed

    struct Observation
    {
        TimePoint time;
        bool isConfirmed = false;
        bool isRefuted = false;
    };
    struct Suspect
    {
        bool isLive(const Observation &observation) const;

        std::map<EngineRun, Observation> crashes;
        std::optional<TimePoint> completedAt;
        TimePoint lastCrashAt; // also of dropped observations
        TimePoint soundToldUntil;
        TimePoint probedUntil;
        bool isRefused = false;
        bool hadCompleted = false; // shortly before its first crash here
        bool isKept = false; // is refused or was, until relapseTime has passed
    };
    struct Attribution
    {
        bool isCurrent = false;
        bool isSettled = false; // the suspects' states follow it
        TimePoint validUntil;
        std::map<RequestTrait, CrashVerdict> verdicts;
    };
    using Suspects = std::map<RequestTrait, Suspect>;

    const Attribution &attribution(TimePoint now) const;
    const CrashVerdict *verdictOn(RequestTrait trait, TimePoint now) const;
    std::vector<TimePoint> liveCrashes(const Suspect &suspect) const;
    std::size_t failedProbes(const Suspect &suspect) const;
    TimePoint probeAllowedAt(const Suspect &suspect) const;
    bool mayProbe(const Suspect &whole) const;
    void setProbedUntil(const std::vector<RequestTrait> &traits, TimePoint until, TimePoint now);
    void rememberCompletion(RequestTrait trait);
    bool hasCompleted(RequestTrait trait) const;
    bool isRefusalOver(RequestTrait trait, TimePoint now) const;
    void settle(TimePoint now);
    void markChanged();
    bool addCrash(const CrashObservation &crash, TimePoint now);
    void addSound(const SoundObservation &sound, TimePoint now);
    void spreadRefutations();
    void expireObservations(RequestTrait trait, Suspect &suspect, TimePoint now);
    void dropExcess();
    CrashReport makeReport(TimePoint now) const;

    double m_spread;
    Suspects m_suspects;
    std::unordered_set<RequestTrait> m_completed; // the newest ones
    std::unordered_set<RequestTrait> m_formerlyCompleted;
    std::unordered_map<EngineRun, TimePoint> m_refutable; // newest observation by run, while it may be refuted
    mutable Attribution m_attribution;
    std::vector<RequestTrait> m_newlyRefused;
    std::vector<RequestTrait> m_newlyCleared;
    bool m_hasNews = false;
    TimePoint m_lastReportAt;
};

} // namespace monsoonward
