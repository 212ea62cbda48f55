#include "monsoonward/dispatch/placement.h"

#include <algorithm>
#include <cmath>

namespace monsoonward
{

namespace
{

using Seconds = std::chrono::duration<double>;

/// Part of the latency objective that the expected time to the first bytes may take: for the most urgent requests, and
/// for those that all others go before; in between by the share of more urgent requests. From rounds on both first
/// deployments.
constexpr double mostUrgentPart = 0.55;
constexpr double leastUrgentPart = 0.25;
constexpr double returningPart = 0.55; // of a caller that was sent away and returns as it was told
constexpr Seconds unstatedObjective {1.0}; // of routes without one
constexpr double mostLoad = 4; // requests for each slot; engines refuse when their own queue is full
constexpr double leastLoad = 0.5; // below it there is room whatever was learned
constexpr Seconds tierMemory {5.0}; // the mix of tiers is averaged over so long
constexpr double failurePenalty = 4; // an engine that fails each request counts as five times as slow
constexpr Seconds regionPenalty {0.030}; // two crossings of the link between regions, and its price
constexpr Seconds dataCentrePenalty {0.005}; // two crossings between data centres, and their price
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
    FirstBytesPlacer(const Places &places,
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
        Placement best;
        auto bestScore = Seconds::max();
        for (const auto *it : m_directory.ofService(request.service)) {
            const auto &excluded = request.excluded;
            if (std::find(excluded.begin(), excluded.end(), it->name) != excluded.end()
                || !m_health.mayTry(it->name, now)) {
                continue;
            }
            const auto inProgress = requestsAt(it->name);
            const double load = inProgress / static_cast<double>(std::max(1U, it->slots));
            const Seconds expected = m_model.expected(it->service, it->name, load);
            const auto score = expected * (1 + failurePenalty * m_health.failureRate(it->name))
                + penaltyOf(m_places.distanceTo(it->dataCentre));
            if (score >= bestScore) {
                continue;
            }
            bestScore = score;
            best.engine = *it;
            best.inProgress = inProgress;
            best.load = load;
            best.expected = std::chrono::duration_cast<Duration>(expected);
            best.outcome = PlacementOutcome::Full;
        }
        if (best.outcome == PlacementOutcome::NoEngine) {
            best.retryAfter = std::chrono::duration_cast<Duration>(shortestRetryAfter);
            return best;
        }
        const auto objective = objectiveOf(request);
        best.limit = std::chrono::duration_cast<Duration>(objective * part);
        if (best.load < leastLoad || (best.expected <= best.limit && best.load < mostLoad)) {
            best.outcome = PlacementOutcome::Placed;
        } else {
            best.retryAfter = retryAfter(request, best, objective);
        }
        return best;
    }

    void started(const EngineName &engine, TimePoint /*now*/) override
    {
        ++m_requests[engine];
        ++m_sentSinceReport[engine];
    }

    void reported() override
    {
        m_sentSinceReport.clear();
    }

    void firstBytes(const EngineRecord &engine, double load, Duration length) override
    {
        m_model.learn(engine.service, engine.name, load, length);
    }

    void ended(const EngineName &engine) override
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

    std::uint32_t requestsAt(const EngineName &engine) const
    {
        const auto own = m_requests.find(engine);
        const auto recent = m_sentSinceReport.find(engine);
        // The others see the same reports and choose alike: each has sent there about as many as this daemon.
        const auto unknown = recent == m_sentSinceReport.end() ? 0 : recent->second * (m_fleet.size() - 1);
        return (own == m_requests.end() ? 0 : own->second) + m_fleet.requestsAt(engine)
            + static_cast<std::uint32_t>(unknown);
    }

    /// @return part of the objective that the expected time may take
    double objectivePart(const PlacementRequest &request, TimePoint now)
    {
        double all = 0;
        double moreUrgent = 0;
        auto &seen = m_tiers[request.service];
        if (!request.isRepeat) {
            seen[request.tier].add(now);
        }
        for (const auto &[tier, rate] : seen) {
            const auto requests = rate.at(now);
            all += requests;
            moreUrgent += tier.isHigherThan(request.tier) ? requests : 0;
        }
        const double share = all > 0 ? moreUrgent / all : 0;
        const double part = mostUrgentPart - (mostUrgentPart - leastUrgentPart) * share;
        return request.isRepeat ? mostUrgentPart : request.isReturning ? std::max(part, returningPart) : part;
    }

    /// @return when to come back: as soon as there may be room, if that can still be in time; else as late as the
    /// caller would wait, since an answer is late anyhow and a second refusal costs the caller its last attempt
    static Duration retryAfter(const PlacementRequest &request, const Placement &best, Seconds objective)
    {
        const Seconds untilRoom = Seconds(best.expected) - Seconds(best.limit);
        const Seconds latest = std::min(longestRetryAfter, Seconds(request.timeLeft) * returnPart);
        const auto wait = untilRoom < objective * soonPart && best.load < mostLoad
            ? untilRoom + shortestRetryAfter
            : latest * (0.5 + request.spread / 2);
        return std::chrono::duration_cast<Duration>(std::clamp(wait, shortestRetryAfter, longestRetryAfter));
    }

    Places m_places;
    const EngineDirectory &m_directory;
    const EngineHealth &m_health;
    const FleetView &m_fleet;
    FirstBytesModel m_model;
    std::map<EngineName, std::uint32_t> m_requests;
    std::map<EngineName, std::uint32_t> m_sentSinceReport;
    std::map<ServiceName, std::map<Tier, RecentRequests>> m_tiers;
};

} // namespace

Distance Places::distanceTo(const DataCentreName &dataCentre) const
{
    if (dataCentre == ownDataCentre) {
        return Distance::SameDataCentre;
    }
    const auto own = regions.find(ownDataCentre);
    const auto other = regions.find(dataCentre);
    const bool isSameRegion = own != regions.end() && other != regions.end() && own->second == other->second;
    return isSameRegion ? Distance::SameRegion : Distance::OtherRegion;
}

std::unique_ptr<Placer> makeFirstBytesPlacer(const Places &places,
                                             const EngineDirectory &directory,
                                             const EngineHealth &health,
                                             const FleetView &fleet)
{
    return std::make_unique<FirstBytesPlacer>(places, directory, health, fleet);
}

} // namespace monsoonward
