#include "customerlimits.h"
#include "estimator.h"
#include "monsoonward/policy/factories.h"
#include "placement.h"
#include "retryspread.h"
#include "tiergate.h"

#include <algorithm>
#include <map>
#include <set>
#include <unordered_map>

namespace monsoonward
{

namespace
{

constexpr Duration usageReportInterval = std::chrono::milliseconds(200);

// A request is refused on arrival if not even this share of its expected output could be generated in time.
constexpr double optimisticOutputShare = 0.25;

Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

/// Entry policy with late binding: reserves a request at several targets, and the first one that claims it gets it.
class LateBindingEntry : public EntryPolicy
{
public:
    LateBindingEntry(
        const RegionName &region, const Clock &clock, Random &random, EntryPolicyOutput &output, EventLog &events)
        : m_clock(clock)
        , m_output(output)
        , m_events(events)
        , m_placement(region, clock, random)
        , m_customerLimiter(clock)
        , m_retryAfter(clock, random)
    {
    }

    void configure(const ConfigurationPtr &configuration) override
    {
        m_configuration = configuration;
        m_placement.configure(configuration);
        m_customerLimiter.configure(configuration);
        for (const auto &it : configuration->tiers) {
            m_lowestTier = std::max(m_lowestTier, it.tier);
        }
        for (const auto &it : configuration->services) {
            gateFor(it.name).setLowestTier(m_lowestTier);
        }
    }

    std::optional<Refusal> admit(const RequestSpec &spec) override
    {
        const auto now = m_clock.now();
        if (spec.deadline <= now) {
            return Refusal {
                RefusalReason::DeadlineImpossible, Verdict::NotRun, std::nullopt, "the deadline has passed"};
        }
        if (const auto limit = m_customerLimiter.exceededLimit(spec)) {
            return Refusal {RefusalReason::CustomerLimit,
                            Verdict::NotRun,
                            m_retryAfter.retryAfter(),
                            "customer \"" + spec.customer.text() + "\" is at its limit of " + *limit};
        }
        m_placement.recordPrefixes(spec);
        const double optimisticOutput = expectedOutputTokens(spec) * optimisticOutputShare;
        if (now + fromSeconds(m_placement.minServiceSeconds(spec, optimisticOutput)) > spec.deadline) {
            return Refusal {RefusalReason::DeadlineImpossible,
                            Verdict::NotRun,
                            std::nullopt,
                            "no idle engine of service \"" + spec.service.text() + "\" could finish in time"};
        }
        auto &gate = gateFor(spec.service);
        if (gate.stateOf(spec.tier) == TierState::Closed && mayShedNow(spec)) {
            return shedRefusal(spec, RefusalReason::Shed, "is closed");
        }
        m_customerLimiter.onAdmitted(spec);
        addWaiting(spec);
        return std::nullopt;
    }

    std::vector<TargetName> targetsToReserve(const RequestSpec &spec, const std::vector<TargetName> &reserved) override
    {
        const auto it = m_waiting.find(spec.id);
        if (it == m_waiting.end() || gateFor(spec.service).stateOf(spec.tier) != TierState::Open) {
            return {};
        }
        return m_placement.targetsToReserve({spec, it->second.waitingSince, it->second.outputTokens}, reserved);
    }

    void onHandedOver(const RequestSpec &spec, const TargetName &target) override
    {
        removeWaiting(spec.id);
        m_placement.onHandedOver(spec, target);
    }

    void onReturned(const RequestSpec &spec) override
    {
        addWaiting(spec);
    }

    void onEnded(const RequestSpec &spec, Verdict verdict, const std::optional<RunStats> &stats) override
    {
        removeWaiting(spec.id);
        m_customerLimiter.onEnded(spec);
        if (verdict == Verdict::Completed) {
            m_retryAfter.onCompleted();
            if (stats) {
                m_outputLengths.recordOutput(spec.tier, spec.customer, stats->outputTokens);
            }
        }
    }

    void onTargetStatus(const TargetStatus &status) override
    {
        m_placement.onTargetStatus(status);
    }

    void onTargetGone(const TargetName &target) override
    {
        m_placement.onTargetGone(target);
    }

    void onEntryUp(const Peer &peer) override
    {
        m_peers.insert(peer);
        for (auto &[service, gate] : m_gates) {
            gate.onEntryUp(peer);
        }
    }

    void onEntryDown(const Peer &peer) override
    {
        m_peers.erase(peer);
        m_customerLimiter.onEntryDown(peer);
        for (auto &[service, gate] : m_gates) {
            gate.onEntryDown(peer);
        }
    }

    void onMessage(const Peer &from, const Message &message) override
    {
        if (const auto *closeTiers = std::get_if<CloseTiers>(&message)) {
            gateFor(closeTiers->service).onCloseTiers(from, *closeTiers);
        } else if (const auto *tiersClosed = std::get_if<TiersClosed>(&message)) {
            gateFor(tiersClosed->service).onTiersClosed(from, *tiersClosed);
        } else if (const auto *report = std::get_if<UsageReport>(&message)) {
            m_customerLimiter.onUsageReport(from, *report);
        }
    }

    std::vector<Eviction> tick() override
    {
        std::vector<Eviction> evictions;
        requestSheddingForLate();
        for (auto &[service, gate] : m_gates) {
            const auto &name = service;
            gate.tick([&](Tier tier) { evictTier(name, tier, evictions); });
        }
        evictLate(evictions);
        sendUsageReport();
        return evictions;
    }

    bool isTierOpen(const ServiceName &service, Tier tier) const override
    {
        const auto gate = m_gates.find(service);
        return gate != m_gates.end() && gate->second.stateOf(tier) == TierState::Open;
    }

private:
    struct Waiting
    {
        RequestSpec spec;
        TimePoint waitingSince;
        TimePoint latestStartAt; // a request that starts later would miss its deadline
        double outputTokens;
    };

    using TierKey = std::pair<ServiceName, Tier>;
    using ByLatestStart = std::set<std::pair<TimePoint, RequestId>>;

    TierGate &gateFor(const ServiceName &service)
    {
        const auto known = m_gates.find(service);
        if (known != m_gates.end()) {
            return known->second;
        }
        auto &gate = m_gates.try_emplace(service, service, m_clock, m_output, m_events).first->second;
        gate.setLowestTier(m_lowestTier);
        for (const auto &it : m_peers) {
            gate.onEntryUp(it);
        }
        return gate;
    }

    double expectedOutputTokens(const RequestSpec &spec) const
    {
        return spec.outputTokens > 0 ? spec.outputTokens : m_outputLengths.median(spec.tier, spec.customer);
    }

    TimePoint latestStart(const RequestSpec &spec, double outputTokens) const
    {
        return spec.deadline - fromSeconds(m_placement.minServiceSeconds(spec, outputTokens));
    }

    void addWaiting(const RequestSpec &spec)
    {
        const double outputTokens = expectedOutputTokens(spec);
        const auto latestStartAt = latestStart(spec, outputTokens);
        m_waiting[spec.id] = {spec, m_clock.now(), latestStartAt, outputTokens};
        m_waitingByTier[{spec.service, spec.tier}].insert({latestStartAt, spec.id});
    }

    void removeWaiting(const RequestId &id)
    {
        const auto it = m_waiting.find(id);
        if (it == m_waiting.end()) {
            return;
        }
        const auto &spec = it->second.spec;
        m_waitingByTier[{spec.service, spec.tier}].erase({it->second.latestStartAt, id});
        m_waiting.erase(it);
    }

    /// Must only be called while mayShedNow() is true for the request.
    /// @return the refusal of a request that is shed
    Refusal shedRefusal(const RequestSpec &spec, RefusalReason reason, const std::string &cause)
    {
        checkInvariant(gateFor(spec.service).mayShed(spec.tier), "tier-order", textOf(spec.id));
        checkInvariant(
            !hasLowerTierWaiting(spec), "tier-order", textOf(spec.id) + ": a request of a lower tier is waiting");
        return {reason,
                Verdict::NotRun,
                m_retryAfter.retryAfter(),
                "tier " + std::to_string(spec.tier.level()) + " of service \"" + spec.service.text() + "\" " + cause};
    }

    /// @return whether the gate allows shedding the request and no request of a lower tier waits here
    bool mayShedNow(const RequestSpec &spec)
    {
        return gateFor(spec.service).mayShed(spec.tier) && !hasLowerTierWaiting(spec);
    }

    bool hasLowerTierWaiting(const RequestSpec &spec) const
    {
        for (auto it = m_waitingByTier.upper_bound({spec.service, spec.tier}); it != m_waitingByTier.end(); ++it) {
            if (it->first.first != spec.service) {
                break;
            }
            if (!it->second.empty()) {
                return true;
            }
        }
        return false;
    }

    void evict(const RequestId &id, RefusalReason reason, const std::string &cause, std::vector<Eviction> &evictions)
    {
        const auto spec = m_waiting.at(id).spec;
        evictions.push_back({id, shedRefusal(spec, reason, cause)});
        removeWaiting(id);
    }

    void evictTier(const ServiceName &service, Tier tier, std::vector<Eviction> &evictions)
    {
        const auto ids = m_waitingByTier[{service, tier}];
        for (const auto &[latestStartAt, id] : ids) {
            evict(id, RefusalReason::Shed, "was closed", evictions);
        }
    }

    /// Requests the right to shed each tier that has a request past its latest start.
    void requestSheddingForLate()
    {
        const auto now = m_clock.now();
        for (const auto &[key, byLatestStart] : m_waitingByTier) {
            if (!byLatestStart.empty() && byLatestStart.begin()->first <= now) {
                gateFor(key.first).requestShedding(key.second);
            }
        }
    }

    /// Refuses requests past their latest start, the lowest tier first, as far as they may be shed.
    void evictLate(std::vector<Eviction> &evictions)
    {
        const auto now = m_clock.now();
        for (auto it = m_waitingByTier.rbegin(); it != m_waitingByTier.rend(); ++it) {
            auto &[key, byLatestStart] = *it;
            while (!byLatestStart.empty() && byLatestStart.begin()->first <= now) {
                const auto id = byLatestStart.begin()->second;
                if (!mayShedNow(m_waiting.at(id).spec)) {
                    break;
                }
                evict(id, RefusalReason::DeadlineUnreachable, "can't finish in time any more", evictions);
            }
        }
    }

    void sendUsageReport()
    {
        if (m_clock.now() - m_usageReportedAt < usageReportInterval) {
            return;
        }
        m_usageReportedAt = m_clock.now();
        const auto report = m_customerLimiter.takeUsageReport();
        if (report.customers.empty()) {
            return;
        }
        for (const auto &it : m_peers) {
            m_output.sendToEntry(it, report);
        }
    }

    const Clock &m_clock;
    EntryPolicyOutput &m_output;
    EventLog &m_events;
    ConfigurationPtr m_configuration;
    Tier m_lowestTier;
    OutputLengthEstimator m_outputLengths;
    Placement m_placement;
    CustomerLimiter m_customerLimiter;
    RetryAfterCalculator m_retryAfter;
    std::set<Peer> m_peers; // the other entries
    std::map<ServiceName, TierGate> m_gates;
    std::unordered_map<RequestId, Waiting> m_waiting;
    std::map<TierKey, ByLatestStart> m_waitingByTier;
    TimePoint m_usageReportedAt {};
};

} // namespace

std::unique_ptr<EntryPolicy> makeEntryPolicy(const Peer & /*own*/,
                                             const RegionName &region,
                                             const Clock &clock,
                                             Random &random,
                                             EntryPolicyOutput &output,
                                             EventLog &events)
{
    return std::make_unique<LateBindingEntry>(region, clock, random, output, events);
}

} // namespace monsoonward
