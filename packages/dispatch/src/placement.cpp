#include "monsoonward/dispatch/placement.h"

#include "sharedchoice.h"

#include <algorithm>
#include <cmath>

namespace monsoonward
{

namespace
{

using Seconds = std::chrono::duration<double>;

/// Part of the latency objective by which load may delay the first bytes: for the most urgent requests, and for those
/// that all others go before; in between by the share of more urgent requests. From rounds on both grown deployments
/// (journal of 2026-12-04).
constexpr double mostUrgentPart = 0.12;
constexpr double leastUrgentPart = 0.0;
/// Part of the objective that the time without load may take at most: what is longer was learned under load.
constexpr double longestIdlePart = 0.3;
constexpr Seconds unstatedObjective {1.0}; // of routes without one
constexpr double mostLoad = 4; // requests for each slot; engines refuse when their own queue is full
constexpr double leastLoad = 0.5; // below it there is room whatever was learned
constexpr Seconds tierMemory {5.0}; // the mix of tiers is averaged over so long
constexpr double failurePenalty = 4; // an engine that fails each request counts as five times as slow
constexpr Seconds regionPenalty {0.030}; // two crossings of the link between regions, and its price
constexpr Seconds dataCentrePenalty {0.005}; // two crossings between data centres, and their price
constexpr double chanceDeviations = 1.5; // of a count: nine in ten deviations by chance are smaller
constexpr double gapWeight = 0.1; // of one gap between reports in the usual one
constexpr Seconds loadPenalty {0.020}; // of full slots: each token takes longer, also where the first one does not
constexpr Seconds shortestRetryAfter {0.1};
constexpr Seconds longestRetryAfter {5.0};
constexpr double returnPart = 0.33; // of the time left that a caller waits at most before it returns
constexpr double soonPart = 0.5; // of the objective: a return within it may still be in time

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

/// Requests of the last seconds, older ones counting less.
class RecentRequests
{
public:
    void add(TimePoint now)
    {
        m_requests = at(now) + 1;
        m_countedAt = now;
    }
    double at(TimePoint now) const
    {
        return m_requests * std::exp(-Seconds(now - m_countedAt) / tierMemory);
    }

private:
    double m_requests = 0;
    TimePoint m_countedAt;
};

class FirstBytesPlacer : public Placer
{
public:
    FirstBytesPlacer(const Topology &places,
                     const EngineDirectory &directory,
                     const EngineHealth &health,
                     const FleetView &fleet)
        : m_places(places)
        , m_directory(directory)
        , m_health(health)
        , m_fleet(fleet)
    {
    }

    Placement place(const PlacementRequest &request, TimePoint now) override
    {
        const auto part = objectivePart(request, now);
        const auto choice = choose(request, now);
        Placement best;
        if (choice.empty()) {
            best.retryAfter = std::chrono::duration_cast<Duration>(shortestRetryAfter);
            return best;
        }
        const auto objective = objectiveOf(request);
        for (const auto &it : choice) {
            // What this daemon and its links add is in the time without load, and no sign of a busy engine.
            const Seconds idle = m_model.expected(request.service, it.engine->name, 0, now);
            const auto limit = std::min(idle, objective * longestIdlePart) + objective * part;
            best.engine = *it.engine;
            best.inProgress = static_cast<std::uint32_t>(std::lround(it.inProgress));
            best.load = it.load;
            best.expected = std::chrono::duration_cast<Duration>(it.expected);
            best.limit = std::chrono::duration_cast<Duration>(limit);
            if (it.load < leastLoad || (it.expected <= limit && it.load < mostLoad)) {
                best.outcome = PlacementOutcome::Placed;
                return best;
            }
        }
        best.outcome = PlacementOutcome::Full;
        best.retryAfter = retryAfter(request, best, objective);
        return best;
    }

    void requestSent(const EngineName &engine, TimePoint /*now*/) override
    {
        ++m_requests[engine];
    }

    void loadReported(TimePoint now) override
    {
        m_reported = m_requests;
        if (m_reportedAt != TimePoint()) {
            const Seconds gap = now - m_reportedAt;
            m_reportGap += gapWeight * (gap - m_reportGap);
        }
        m_reportedAt = now;
    }

    void firstBytesReceived(const EngineRecord &engine, double load, Duration length, TimePoint now) override
    {
        m_model.learn(engine.service, engine.name, load, length, now);
    }

    void requestEnded(const EngineName &engine) override
    {
        const auto it = m_requests.find(engine);
        if (it != m_requests.end() && --it->second == 0) {
            m_requests.erase(it);
        }
    }

    void forget(const EngineName &engine) override
    {
        m_model.forget(engine);
    }

    const std::map<EngineName, std::uint32_t> &ownRequests() const override
    {
        return m_requests;
    }

private:
    static Seconds objectiveOf(const PlacementRequest &request)
    {
        return request.latencyObjective > Duration::zero() ? Seconds(request.latencyObjective) : unstatedObjective;
    }

    /// @brief An engine that may get the request.
    struct Candidate
    {
        const EngineRecord *engine = nullptr;
        double inProgress = 0;
        double load = 0;
        Seconds expected {};
    };

    static std::uint32_t countOf(const std::map<EngineName, std::uint32_t> &counts, const EngineName &engine)
    {
        const auto it = counts.find(engine);
        return it == counts.end() ? 0 : it->second;
    }

    /// @return the engine chosen for the request, then the one that would answer earliest if it is another; nothing
    /// when no engine may be tried
    std::vector<Candidate> choose(const PlacementRequest &request, TimePoint now) const
    {
        const auto engines = m_directory.ofService(request.service);
        const auto load = unseenLoad(request.service, engines, now);
        std::vector<Candidate> candidates;
        std::vector<ChoiceCost> costs;
        for (const auto *it : engines) {
            const auto &excludedEngines = request.excludedEngines;
            if (std::find(excludedEngines.begin(), excludedEngines.end(), it->name) == excludedEngines.end()
                && m_health.isAvailable(it->name, now)) {
                candidates.push_back(candidateOf(*it, load, now));
                costs.push_back(costOf(candidates.back(), now));
            }
        }
        if (candidates.empty()) {
            return {};
        }
        const auto chosen = chooseAmong(costs, load.deciding, request.uniformHash);
        const auto least = chooseAmong(costs, 0, 0);
        std::vector<Candidate> choice {candidates[chosen]};
        if (least != chosen) {
            choice.push_back(candidates[least]);
        }
        return choice;
    }

    /// @brief What the other daemons' reports don't tell yet.
    struct UnseenLoad
    {
        double staying = 1; ///< part of the reported requests that still runs
        double perEngine = 0; ///< requests that began since, at each engine in the mean
        double deciding = 0; ///< requests that the others place by the same reports until the next ones come
    };

    /// Judges the others by this daemon: as many requests each, as long, and grown by as much since the last report, as
    /// far as that is more than chance.
    UnseenLoad
    unseenLoad(const ServiceName &service, const std::vector<const EngineRecord *> &engines, TimePoint now) const
    {
        double own = 0;
        double reported = 0;
        for (const auto *it : engines) {
            own += countOf(m_requests, it->name);
            reported += countOf(m_reported, it->name);
        }
        const double rate = ownRate(service, now);
        const double sinceReports = std::min(own, rate * m_reportGap.count() / 2);
        const double grown = std::max(0.0, own - reported - chanceDeviations * std::sqrt(own + reported));
        const auto others = static_cast<double>(m_fleet.size() - 1);
        const auto count = static_cast<double>(std::max<std::size_t>(1, engines.size()));
        return {own > 0 ? 1 - sinceReports / own : 1,
                others * (sinceReports + grown) / count,
                others * std::min(own, rate * m_reportGap.count())};
    }

    Candidate candidateOf(const EngineRecord &engine, const UnseenLoad &unseen, TimePoint now) const
    {
        Candidate candidate;
        candidate.engine = &engine;
        candidate.inProgress =
            countOf(m_requests, engine.name) + unseen.staying * m_fleet.requestsAt(engine.name) + unseen.perEngine;
        candidate.load = candidate.inProgress / std::max(1U, engine.slots);
        candidate.expected = m_model.expected(engine.service, engine.name, candidate.load, now);
        return candidate;
    }

    ChoiceCost costOf(const Candidate &candidate, TimePoint now) const
    {
        const auto &engine = *candidate.engine;
        const double oneMore = 1.0 / std::max(1U, engine.slots);
        const Seconds next = m_model.expected(engine.service, engine.name, candidate.load + oneMore, now);
        const double weight = 1 + failurePenalty * m_health.failureRate(engine.name);
        return {(candidate.expected + loadPenalty * candidate.load) * weight
                    + penaltyOf(m_places.distanceTo(engine.dataCentre)),
                (next - candidate.expected + loadPenalty * oneMore) * weight};
    }

    /// @return requests of the service that come to this daemon each second
    double ownRate(const ServiceName &service, TimePoint now) const
    {
        const auto seen = m_tiers.find(service);
        double requests = 0;
        if (seen != m_tiers.end()) {
            for (const auto &it : seen->second) {
                requests += it.second.at(now);
            }
        }
        return requests / tierMemory.count();
    }

    /// @return part of the objective by which load may delay the first bytes
    double objectivePart(const PlacementRequest &request, TimePoint now)
    {
        double all = 0;
        double moreUrgent = 0;
        auto &seen = m_tiers[request.service];
        if (!request.isRetry) {
            seen[request.tier].add(now);
        }
        for (const auto &[tier, rate] : seen) {
            const auto requests = rate.at(now);
            all += requests;
            moreUrgent += tier.isHigherThan(request.tier) ? requests : 0;
        }
        const double share = all > 0 ? moreUrgent / all : 0;
        const double part = mostUrgentPart - (mostUrgentPart - leastUrgentPart) * share;
        return request.isRetry || request.isResend ? mostUrgentPart : part;
    }

    /// @return when to come back: as soon as there may be room, if that can still be in time; else as late as the
    /// caller would wait, since an answer is late anyhow and a second refusal costs the caller its last attempt
    static Duration retryAfter(const PlacementRequest &request, const Placement &best, Seconds objective)
    {
        const Seconds untilRoom = Seconds(best.expected) - Seconds(best.limit);
        const Seconds latest = std::min(longestRetryAfter, Seconds(request.timeLeft) * returnPart);
        const auto wait = untilRoom < objective * soonPart && best.load < mostLoad
            ? untilRoom + shortestRetryAfter
            : latest * (0.5 + request.uniformHash / 2);
        return std::chrono::duration_cast<Duration>(std::clamp(wait, shortestRetryAfter, longestRetryAfter));
    }

    Topology m_places;
    const EngineDirectory &m_directory;
    const EngineHealth &m_health;
    const FleetView &m_fleet;
    FirstBytesModel m_model;
    std::map<EngineName, std::uint32_t> m_requests;
    std::map<EngineName, std::uint32_t> m_reported; // as the other daemons know them
    TimePoint m_reportedAt;
    Seconds m_reportGap {0}; // usual time between two reports
    std::map<ServiceName, std::map<Tier, RecentRequests>> m_tiers;
};

} // namespace

Distance Topology::distanceTo(const DataCentreName &dataCentre) const
{
    if (dataCentre == ownDataCentre) {
        return Distance::SameDataCentre;
    }
    const auto own = regions.find(ownDataCentre);
    const auto other = regions.find(dataCentre);
    const bool isSameRegion = own != regions.end() && other != regions.end() && own->second == other->second;
    return isSameRegion ? Distance::SameRegion : Distance::OtherRegion;
}

std::unique_ptr<Placer> makeFirstBytesPlacer(const Topology &places,
                                             const EngineDirectory &directory,
                                             const EngineHealth &health,
                                             const FleetView &fleet)
{
    return std::make_unique<FirstBytesPlacer>(places, directory, health, fleet);
}

} // namespace monsoonward
