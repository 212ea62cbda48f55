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

constexpr Duration usageInterval = std::chrono::milliseconds(200);
constexpr double impossiblePart = 0.25; // of the typical output: a shorter answer is not to be hoped for

Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

/// Entry policy that reserves at a few targets and leaves the choice to whichever claims first.
class LateBindingEntry : public EntryPolicy
{
public:
    LateBindingEntry(
        const RegionName &region, const Clock &clock, Random &random, EntryPolicyOutput &output, EventLog &events)
        : m_clock(clock)
        , m_output(output)
        , m_events(events)
        , m_placement(region, clock, random)
        , m_limits(clock)
        , m_retries(clock, random)
    {
    }

    void configure(const ConfigurationPtr &configuration) override
    {
        m_configuration = configuration;
        m_placement.configure(configuration);
        m_limits.configure(configuration);
        for (const auto &it : configuration->tiers) {
            m_lowest = std::max(m_lowest, it.tier);
        }
        for (const auto &it : configuration->services) {
            gateOf(it.name).setLowest(m_lowest);
        }
    }

    std::optional<Refusal> admit(const RequestSpec &spec) override
    {
        const auto now = m_clock.now();
        if (spec.deadline <= now) {
            return Refusal {
                RefusalReason::DeadlineImpossible, Verdict::NotRun, std::nullopt, "the deadline has passed"};
        }
        if (const auto limit = m_limits.exceeded(spec)) {
            return Refusal {RefusalReason::CustomerLimit,
                            Verdict::NotRun,
                            m_retries.retryAfter(),
                            "customer \"" + spec.customer.text() + "\" is at its limit of " + *limit};
        }
        m_placement.seen(spec);
        const double hopedOutput = outputOf(spec) * impossiblePart;
        if (now + fromSeconds(m_placement.leastSeconds(spec, hopedOutput)) > spec.deadline) {
            return Refusal {RefusalReason::DeadlineImpossible,
                            Verdict::NotRun,
                            std::nullopt,
                            "no idle engine of service \"" + spec.service.text() + "\" could finish in time"};
        }
        auto &gate = gateOf(spec.service);
        if (gate.standing(spec.tier) == TierStanding::Closed && canShed(spec)) {
            return shedding(spec, RefusalReason::Shed, "is closed");
        }
        m_limits.admitted(spec);
        addWaiting(spec);
        return std::nullopt;
    }

    std::vector<TargetName> targetsToReserve(const RequestSpec &spec, const std::vector<TargetName> &reserved) override
    {
        const auto it = m_waiting.find(spec.id);
        if (it == m_waiting.end() || gateOf(spec.service).standing(spec.tier) != TierStanding::Open) {
            return {};
        }
        return m_placement.targetsToReserve({spec, it->second.admittedAt, it->second.outputTokens}, reserved);
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
        m_limits.onEnded(spec);
        if (verdict == Verdict::Completed) {
            m_retries.completed();
            if (stats) {
                m_outputs.learn(spec.tier, spec.customer, stats->outputTokens);
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
        m_limits.onEntryDown(peer);
        for (auto &[service, gate] : m_gates) {
            gate.onEntryDown(peer);
        }
    }

    void onMessage(const Peer &from, const Message &message) override
    {
        if (const auto *ask = std::get_if<CloseTiers>(&message)) {
            gateOf(ask->service).closeAsked(from, *ask);
        } else if (const auto *answer = std::get_if<TiersClosed>(&message)) {
            gateOf(answer->service).closedAnswered(from, *answer);
        } else if (const auto *report = std::get_if<UsageReport>(&message)) {
            m_limits.report(from, *report);
        }
    }

    std::vector<Eviction> tick() override
    {
        std::vector<Eviction> evictions;
        askForHopeless();
        for (auto &[service, gate] : m_gates) {
            const auto &name = service;
            gate.tick([&](Tier tier) { evictTier(name, tier, evictions); });
        }
        evictHopeless(evictions);
        shareUsage();
        return evictions;
    }

    bool isTierOpen(const ServiceName &service, Tier tier) const override
    {
        const auto gate = m_gates.find(service);
        return gate != m_gates.end() && gate->second.standing(tier) == TierStanding::Open;
    }

private:
    struct Waiting
    {
        RequestSpec spec;
        TimePoint admittedAt;
        TimePoint hopelessAt;
        double outputTokens;
    };

    using TierKey = std::pair<ServiceName, Tier>;
    using ByHope = std::set<std::pair<TimePoint, RequestId>>;

    TierGate &gateOf(const ServiceName &service)
    {
        const auto known = m_gates.find(service);
        if (known != m_gates.end()) {
            return known->second;
        }
        auto &gate = m_gates.try_emplace(service, service, m_clock, m_output, m_events).first->second;
        gate.setLowest(m_lowest);
        for (const auto &it : m_peers) {
            gate.onEntryUp(it);
        }
        return gate;
    }

    double outputOf(const RequestSpec &spec) const
    {
        return spec.outputTokens > 0 ? spec.outputTokens : m_outputs.typical(spec.tier, spec.customer);
    }

    TimePoint hopelessTime(const RequestSpec &spec, double outputTokens) const
    {
        return spec.deadline - fromSeconds(m_placement.leastSeconds(spec, outputTokens));
    }

    void addWaiting(const RequestSpec &spec)
    {
        const double outputTokens = outputOf(spec);
        const auto hopelessAt = hopelessTime(spec, outputTokens);
        m_waiting[spec.id] = {spec, m_clock.now(), hopelessAt, outputTokens};
        m_byTier[{spec.service, spec.tier}].insert({hopelessAt, spec.id});
    }

    void removeWaiting(const RequestId &id)
    {
        const auto it = m_waiting.find(id);
        if (it == m_waiting.end()) {
            return;
        }
        const auto &spec = it->second.spec;
        m_byTier[{spec.service, spec.tier}].erase({it->second.hopelessAt, id});
        m_waiting.erase(it);
    }

    /// @return the refusal of a request that is shed; the gate must allow it
    Refusal shedding(const RequestSpec &spec, RefusalReason reason, const std::string &why)
    {
        checkInvariant(gateOf(spec.service).mayShed(spec.tier), "tier-order", textOf(spec.id));
        checkInvariant(!lowerTierWaits(spec), "tier-order", textOf(spec.id) + ": a lower tier waits");
        return {reason,
                Verdict::NotRun,
                m_retries.retryAfter(),
                "tier " + std::to_string(spec.tier.level()) + " of service \"" + spec.service.text() + "\" " + why};
    }

    bool canShed(const RequestSpec &spec)
    {
        return gateOf(spec.service).mayShed(spec.tier) && !lowerTierWaits(spec);
    }

    bool lowerTierWaits(const RequestSpec &spec) const
    {
        for (auto it = m_byTier.upper_bound({spec.service, spec.tier}); it != m_byTier.end(); ++it) {
            if (it->first.first != spec.service) {
                break;
            }
            if (!it->second.empty()) {
                return true;
            }
        }
        return false;
    }

    void evict(const RequestId &id, RefusalReason reason, const std::string &why, std::vector<Eviction> &evictions)
    {
        const auto spec = m_waiting.at(id).spec;
        evictions.push_back({id, shedding(spec, reason, why)});
        removeWaiting(id);
    }

    void evictTier(const ServiceName &service, Tier tier, std::vector<Eviction> &evictions)
    {
        const auto ids = m_byTier[{service, tier}];
        for (const auto &[hopelessAt, id] : ids) {
            evict(id, RefusalReason::Shed, "was closed", evictions);
        }
    }

    void askForHopeless()
    {
        const auto now = m_clock.now();
        for (const auto &[key, byHope] : m_byTier) {
            if (!byHope.empty() && byHope.begin()->first <= now) {
                gateOf(key.first).needShed(key.second);
            }
        }
    }

    void evictHopeless(std::vector<Eviction> &evictions)
    {
        const auto now = m_clock.now();
        for (auto it = m_byTier.rbegin(); it != m_byTier.rend(); ++it) {
            auto &[key, byHope] = *it;
            while (!byHope.empty() && byHope.begin()->first <= now) {
                const auto id = byHope.begin()->second;
                if (!canShed(m_waiting.at(id).spec)) {
                    break;
                }
                evict(id, RefusalReason::DeadlineUnreachable, "can't finish in time any more", evictions);
            }
        }
    }

    void shareUsage()
    {
        if (m_clock.now() - m_usageSharedAt < usageInterval) {
            return;
        }
        m_usageSharedAt = m_clock.now();
        const auto report = m_limits.takeReport();
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
    Tier m_lowest;
    OutputEstimator m_outputs;
    Placement m_placement;
    CustomerLimiter m_limits;
    RetrySpread m_retries;
    std::set<Peer> m_peers; // other entries
    std::map<ServiceName, TierGate> m_gates;
    std::unordered_map<RequestId, Waiting> m_waiting;
    std::map<TierKey, ByHope> m_byTier;
    TimePoint m_usageSharedAt {};
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
