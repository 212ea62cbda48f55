#include "monsoonward/dispatch/placement.h"

#include "sharedchoice.h"

#include <algorithm>
#include <cmath>

namespace monsoonward
{

namespace
{

using Seconds = std::chrono::duration<double>;

/// Fraction of the latency objective by which load may delay the first bytes: the first if no requests of the service
/// are more urgent, the second if all others are. Between them it falls linearly with the share of more urgent
/// requests.
constexpr double mostUrgentDelayFraction = 0.12;
constexpr double leastUrgentDelayFraction = 0.0;
/// Upper bound of the expected time without load, as a fraction of the objective. A longer learned time is the effect
/// of load.
constexpr double maxIdleFraction = 0.3;
constexpr Seconds defaultObjective {1.0}; // for routes without a latency objective
constexpr double maxLoad = 4; // requests per slot; engines refuse requests when their own queue is full
constexpr double alwaysAdmittedLoad = 0.5; // below it, requests are admitted regardless of the prediction
constexpr Seconds tierMixDecayTime {5.0}; // time constant of the average of the mix of tiers
constexpr double failurePenalty = 4; // an engine that fails every request counts as five times as slow
constexpr Seconds regionPenalty {0.030}; // round trip between regions, and the cost of the link
constexpr Seconds dataCentrePenalty {0.005}; // round trip between data centres, and the cost of the link
constexpr double noiseDeviations = 1.5; // standard deviations of a count; nine in ten random deviations are smaller
constexpr double reportIntervalWeight = 0.1; // of one interval between reports in the moving average
constexpr Seconds loadPenalty {0.020}; // at load 1: each token takes longer, even if the first one doesn't
constexpr Seconds minRetryAfter {0.1};
constexpr Seconds maxRetryAfter {5.0};
constexpr double maxWaitFraction =
    0.33; // fraction of the time left after which a caller is told to retry at the latest
constexpr double soonFraction = 0.5; // of the objective; a retry within that time may still meet it

Seconds penaltyOf(Distance distance)
{
    switch (distance) {
    case Distance::SameDataCentre:
        return Seconds(0);
    case Distance::SameRegion:
        return dataCentrePenalty;
    case Distance::OtherRegion:
        break;
    }
    return regionPenalty;
}

template<class T>
bool contains(const std::vector<T> &list, const T &value)
{
    return std::find(list.begin(), list.end(), value) != list.end();
}

bool isBuildAllowed(const PlacementRequest &request, const EngineRecord &engine)
{
    if (!request.build && request.excludedBuilds.empty()) {
        return true;
    }
    const auto build = buildOf(engine);
    return request.build.value_or(build) == build && !contains(request.excludedBuilds, build);
}

/// Number of recent requests, with exponentially decaying weight.
class RecentRequests
{
public:
    void add(TimePoint now)
    {
        m_count = countAt(now) + 1;
        m_countedAt = now;
    }
    double countAt(TimePoint now) const
    {
        return m_count * std::exp(-Seconds(now - m_countedAt) / tierMixDecayTime);
    }

private:
    double m_count = 0;
    TimePoint m_countedAt;
};

class FirstBytesPlacer : public Placer
{
public:
    FirstBytesPlacer(const Topology &topology,
                     const EngineDirectory &directory,
                     const EngineHealth &health,
                     const FleetView &fleet,
                     EngineLimiter &limiter,
                     const PromptSavings *savings)
        : m_topology(topology)
        , m_directory(directory)
        , m_health(health)
        , m_fleet(fleet)
        , m_limiter(limiter)
        , m_savings(savings)
    {
    }

    Placement place(const PlacementRequest &request, TimePoint now) override
    {
        const auto urgentShare = moreUrgentShare(request, now);
        const double fraction =
            mostUrgentDelayFraction - (mostUrgentDelayFraction - leastUrgentDelayFraction) * urgentShare;
        const auto known = m_directory.ofService(request.service);
        const auto engines = usableEngines(request, known, urgentShare, now);
        Placement placement;
        if (engines.usable.empty()) {
            if (engines.limited == nullptr) {
                placement.retryAfter = untilPauseEnds(request, now);
                return placement;
            }
            placement.outcome = PlacementOutcome::Limited;
            placement.engine = *engines.limited;
            placement.allowance = m_limiter.allowanceOf(*engines.limited, now);
            placement.retryAfter = untilLimitsAllow(request, known, now);
            return placement;
        }
        const auto choices = choose(request, engines.usable, unreportedLoad(request.service, known, now), now);
        const auto objective = objectiveOf(request);
        for (const auto &it : choices) {
            // The time without load includes delays of this daemon and its links, which don't mean that the engine is
            // busy. The load may add its fraction to that time.
            const Seconds idle = m_model.expected(request.service, it.engine->name, 0, now);
            const auto limit = std::min(idle, objective * maxIdleFraction) + objective * fraction;
            placement.engine = *it.engine;
            placement.inProgress = static_cast<std::uint32_t>(std::lround(it.inProgress));
            placement.load = it.load;
            placement.expected = std::chrono::duration_cast<Duration>(it.expected);
            placement.limit = std::chrono::duration_cast<Duration>(limit);
            placement.allowance = m_limiter.allowanceOf(*it.engine, now);
            placement.heldTokens = it.saving.tokens;
            placement.isForHeldPrompt = it.isForHeldPrompt;
            const bool isInTime = request.build || request.mayHaveRun || it.expected <= limit;
            if (it.load < alwaysAdmittedLoad || (isInTime && it.load < maxLoad)) {
                placement.outcome = PlacementOutcome::Placed;
                return placement;
            }
        }
        placement.outcome = PlacementOutcome::Full;
        placement.retryAfter = retryAfter(request, placement, objective);
        return placement;
    }

    void requestSent(const EngineName &engine, TimePoint /*now*/) override
    {
        ++m_ownRequests[engine];
    }

    void loadReported(TimePoint now) override
    {
        m_lastReported = m_ownRequests;
        if (m_lastReportAt != TimePoint()) {
            const Seconds interval = now - m_lastReportAt;
            m_reportInterval += reportIntervalWeight * (interval - m_reportInterval);
        }
        m_lastReportAt = now;
    }

    void firstBytesReceived(const EngineRecord &engine, double load, Duration length, TimePoint now) override
    {
        m_model.learn(engine.service, engine.name, load, length, now);
    }

    void requestEnded(const EngineName &engine) override
    {
        const auto it = m_ownRequests.find(engine);
        if (it != m_ownRequests.end() && --it->second == 0) {
            m_ownRequests.erase(it);
        }
    }

    void forget(const EngineName &engine) override
    {
        m_model.forget(engine);
    }

    std::map<ServiceName, double> demand(TimePoint now) const override
    {
        std::map<ServiceName, double> demand;
        for (const auto &it : m_recentByTier) {
            demand[it.first] = ownRate(it.first, now);
        }
        return demand;
    }

    const std::map<EngineName, std::uint32_t> &ownRequests() const override
    {
        return m_ownRequests;
    }

private:
    static Seconds objectiveOf(const PlacementRequest &request)
    {
        return request.latencyObjective > Duration::zero() ? Seconds(request.latencyObjective) : defaultObjective;
    }

    /// @brief An engine that may get the request.
    struct Candidate
    {
        const EngineRecord *engine = nullptr;
        double inProgress = 0;
        double load = 0;
        Seconds expected {};
        PromptSaving saving;
        bool isForHeldPrompt = false; ///< the saving makes it cheaper than the engine that would be the cheapest
    };

    static std::uint32_t countOf(const std::map<EngineName, std::uint32_t> &counts, const EngineName &engine)
    {
        const auto it = counts.find(engine);
        return it == counts.end() ? 0 : it->second;
    }

    /// @brief Estimated changes of the other daemons' load since their last reports.
    struct UnreportedLoad
    {
        double remainingFraction = 1; ///< fraction of the reported requests that are still in progress
        double newPerEngine = 0; ///< mean number of requests per engine that started since the reports
        double concurrentRequests = 0; ///< requests that the other daemons place in one report interval
    };

    /// @brief The engines that may be tried for a request.
    struct UsableEngines
    {
        std::vector<const EngineRecord *> usable;
        const EngineRecord *limited = nullptr; ///< one that may not be tried only because of the limit that it states
    };

    /// @param known engines of the service
    /// @param urgentShare fraction of the service's requests that are more urgent
    UsableEngines usableEngines(const PlacementRequest &request,
                                const std::vector<const EngineRecord *> &known,
                                double urgentShare,
                                TimePoint now) const
    {
        UsableEngines engines;
        std::vector<const EngineRecord *> reportedLeaving;
        for (const auto *it : known) {
            if (contains(request.excludedEngines, it->name) || !isBuildAllowed(request, *it)
                || !m_health.isAvailable(it->name, now)) {
                continue;
            }
            if (!m_limiter.maySend(*it, urgentShare, now)) {
                engines.limited = it;
                continue;
            }
            (m_fleet.isReportedLeaving(it->name) ? reportedLeaving : engines.usable).push_back(it);
        }
        if (engines.usable.empty() && engines.limited == nullptr) {
            engines.usable = std::move(reportedLeaving);
        }
        return engines;
    }

    /// @param usable must not be empty
    /// @return the engine chosen for the request, then the one with the least cost if it is a different one
    std::vector<Candidate> choose(const PlacementRequest &request,
                                  const std::vector<const EngineRecord *> &usable,
                                  const UnreportedLoad &load,
                                  TimePoint now) const
    {
        std::vector<Candidate> candidates;
        std::vector<EngineCost> costs;
        for (const auto *it : usable) {
            candidates.push_back(candidateOf(*it, load, now));
            costs.push_back(costOf(candidates.back(), now));
        }
        takeOffSavings(request, candidates, costs, now);
        const auto chosenIndex = chooseEngine(costs, load.concurrentRequests, request.uniformHash);
        const auto cheapestIndex = chooseEngine(costs, 0, 0);
        std::vector<Candidate> choices {candidates[chosenIndex]};
        if (cheapestIndex != chosenIndex) {
            choices.push_back(candidates[cheapestIndex]);
        }
        return choices;
    }

    /// Takes off the costs what engines save because they hold the beginning of the prompt.
    void takeOffSavings(const PlacementRequest &request,
                        std::vector<Candidate> &candidates,
                        std::vector<EngineCost> &costs,
                        TimePoint now) const
    {
        if (m_savings == nullptr || request.prompt.empty() || !m_savings->isPossible(request.service)) {
            return;
        }
        const auto cheapestIndex = chooseEngine(costs, 0, 0);
        const auto least = costs[cheapestIndex].current;
        for (std::size_t n = 0; n < candidates.size(); ++n) {
            auto &it = candidates[n];
            const EngineUse use {it.inProgress, static_cast<double>(countOf(m_ownRequests, it.engine->name))};
            it.saving = m_savings->savingAt(*it.engine, request.prompt, use, m_model.slowness(it.engine->name), now);
            costs[n].current -= it.saving.time;
            it.isForHeldPrompt = n != cheapestIndex && costs[n].current < least;
        }
    }

    /// Assumes that each other daemon has as many requests as this one, of the same duration, and that their number has
    /// grown by as much since the last report, not counting growth that may be random. Reports are half an interval old
    /// on average.
    UnreportedLoad
    unreportedLoad(const ServiceName &service, const std::vector<const EngineRecord *> &engines, TimePoint now) const
    {
        double own = 0;
        double reported = 0;
        for (const auto *it : engines) {
            own += countOf(m_ownRequests, it->name);
            reported += countOf(m_lastReported, it->name);
        }
        const double rate = ownRate(service, now);
        const double turnover = std::min(own, rate * m_reportInterval.count() / 2);
        const double growth = std::max(0.0, own - reported - noiseDeviations * std::sqrt(own + reported));
        const auto otherDaemons = static_cast<double>(m_fleet.size() - 1);
        const auto engineCount = static_cast<double>(std::max<std::size_t>(1, engines.size()));
        return {own > 0 ? 1 - turnover / own : 1,
                otherDaemons * (turnover + growth) / engineCount,
                otherDaemons * std::min(own, rate * m_reportInterval.count())};
    }

    Candidate candidateOf(const EngineRecord &engine, const UnreportedLoad &unreported, TimePoint now) const
    {
        Candidate candidate;
        candidate.engine = &engine;
        candidate.inProgress = countOf(m_ownRequests, engine.name)
            + unreported.remainingFraction * m_fleet.requestsAt(engine.name) + unreported.newPerEngine;
        candidate.load = candidate.inProgress / std::max(1U, engine.slots);
        candidate.expected = m_model.expected(engine.service, engine.name, candidate.load, now);
        return candidate;
    }

    EngineCost costOf(const Candidate &candidate, TimePoint now) const
    {
        const auto &engine = *candidate.engine;
        const double loadPerRequest = 1.0 / std::max(1U, engine.slots);
        const Seconds next = m_model.expected(engine.service, engine.name, candidate.load + loadPerRequest, now);
        const double weight = 1 + failurePenalty * m_health.failureRate(engine.name);
        return {(candidate.expected + loadPenalty * candidate.load) * weight
                    + penaltyOf(m_topology.distanceTo(engine.dataCentre)),
                (next - candidate.expected + loadPenalty * loadPerRequest) * weight};
    }

    /// @return callers' requests of the service per second that arrive at this daemon
    double ownRate(const ServiceName &service, TimePoint now) const
    {
        const auto recent = m_recentByTier.find(service);
        double requests = 0;
        if (recent != m_recentByTier.end()) {
            for (const auto &it : recent->second) {
                requests += it.second.countAt(now);
            }
        }
        return requests / tierMixDecayTime.count();
    }

    /// Counts the request in the mix of tiers.
    /// @return fraction of the service's requests that are more urgent; 0 for one that is admitted like the most urgent
    double moreUrgentShare(const PlacementRequest &request, TimePoint now)
    {
        double all = 0;
        double moreUrgent = 0;
        auto &recent = m_recentByTier[request.service];
        if (!request.isRetry) {
            recent[request.tier].add(now);
        }
        for (const auto &[tier, rate] : recent) {
            const auto requests = rate.countAt(now);
            all += requests;
            moreUrgent += tier.isHigherThan(request.tier) ? requests : 0;
        }
        return all > 0 && !request.isRetry && !request.isResend ? moreUrgent / all : 0;
    }

    /// Refused callers are told to return one after the other, at this daemon's part of the rate that the engines'
    /// limits allow, since they return to any daemon.
    /// @return time after which to retry, within the time that the caller is willing to wait
    Duration
    untilLimitsAllow(const PlacementRequest &request, const std::vector<const EngineRecord *> &known, TimePoint now)
    {
        const double limit = m_limiter.totalLimit(known);
        const double rate = std::max(limit, LimitDivision::minPerSecond) / static_cast<double>(m_fleet.size());
        const Seconds maxWait = std::min(maxRetryAfter, Seconds(request.timeLeft) * maxWaitFraction);
        auto &next = m_nextReturnAt[request.service];
        next = std::min(std::max(next, now) + std::chrono::duration_cast<Duration>(Seconds(1 / rate)),
                        now + std::chrono::duration_cast<Duration>(maxRetryAfter));
        const auto wait = std::clamp<Seconds>(next - now, minRetryAfter, std::max(minRetryAfter, maxWait));
        return std::chrono::duration_cast<Duration>(wait);
    }

    /// @return time until an engine of the service may be tried, within the time that the caller is willing to wait
    Duration untilPauseEnds(const PlacementRequest &request, TimePoint now) const
    {
        const Seconds maxWait = std::min(maxRetryAfter, Seconds(request.timeLeft) * maxWaitFraction);
        Seconds wait = minRetryAfter;
        bool isFirst = true;
        for (const auto *it : m_directory.ofService(request.service)) {
            const Seconds left = m_health.pausedUntil(it->name) - now;
            wait = isFirst ? left : std::min(wait, left);
            isFirst = false;
        }
        return std::chrono::duration_cast<Duration>(std::max(minRetryAfter, std::min(wait, maxWait)));
    }

    /// @return time after which to retry: as soon as the request may be admitted, if that can still meet the objective.
    /// Otherwise near the end of the time that the caller is willing to wait, since the answer will be late in any case
    /// and a second refusal would cost the caller its last attempt.
    static Duration retryAfter(const PlacementRequest &request, const Placement &placement, Seconds objective)
    {
        const Seconds untilAdmitted = Seconds(placement.expected) - Seconds(placement.limit);
        const Seconds maxWait = std::min(maxRetryAfter, Seconds(request.timeLeft) * maxWaitFraction);
        const auto wait = untilAdmitted < objective * soonFraction && placement.load < maxLoad
            ? untilAdmitted + minRetryAfter
            : maxWait * (0.5 + request.uniformHash / 2);
        return std::chrono::duration_cast<Duration>(std::clamp(wait, minRetryAfter, maxRetryAfter));
    }

    Topology m_topology;
    const EngineDirectory &m_directory;
    const EngineHealth &m_health;
    const FleetView &m_fleet;
    EngineLimiter &m_limiter;
    const PromptSavings *m_savings; // null: not considered
    FirstBytesModel m_model;
    std::map<EngineName, std::uint32_t> m_ownRequests;
    std::map<EngineName, std::uint32_t> m_lastReported; // m_ownRequests at the time of the last report
    TimePoint m_lastReportAt;
    Seconds m_reportInterval {0}; // moving average
    std::map<ServiceName, std::map<Tier, RecentRequests>> m_recentByTier;
    std::map<ServiceName, TimePoint> m_nextReturnAt; // of callers refused because of engines' limits
};

} // namespace

std::unique_ptr<Placer> makeFirstBytesPlacer(const Topology &topology,
                                             const EngineDirectory &directory,
                                             const EngineHealth &health,
                                             const FleetView &fleet,
                                             EngineLimiter &limiter,
                                             const PromptSavings *savings)
{
    return std::make_unique<FirstBytesPlacer>(topology, directory, health, fleet, limiter, savings);
}

} // namespace monsoonward
