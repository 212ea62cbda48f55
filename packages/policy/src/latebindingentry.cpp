#include "monsoonward/policy/factories.h"

#include <algorithm>
#include <map>
#include <unordered_map>

namespace monsoonward
{

namespace
{

constexpr std::size_t reservationsPerRequest = 3;
constexpr std::size_t sampledTargets = 4; // looked at for each reservation

/// Entry policy that reserves at a few targets and leaves the choice to whichever claims first.
class LateBindingEntry : public EntryPolicy
{
public:
    LateBindingEntry(const Clock &clock, Random &random)
        : m_clock(clock)
        , m_random(random)
    {
    }

    void configure(const ConfigurationPtr &configuration) override
    {
        m_configuration = configuration;
    }

    std::optional<Refusal> admit(const RequestSpec &spec) override
    {
        if (spec.deadline <= m_clock.now()) {
            return Refusal {RefusalReason::Expired, Verdict::NotRun, std::nullopt, "the deadline has passed"};
        }
        m_waiting.emplace(spec.id, spec);
        return std::nullopt;
    }

    std::vector<TargetName> candidates(const RequestSpec &spec, const std::vector<TargetName> &reserved) override
    {
        std::vector<TargetName> chosen;
        const auto usable = usableTargets(spec.service, reserved);
        for (std::size_t n = reserved.size(); n < reservationsPerRequest && chosen.size() < usable.size(); ++n) {
            const auto best = sampleBest(usable, chosen);
            if (!best.empty()) {
                chosen.push_back(best);
            }
        }
        return chosen;
    }

    void handedOver(const RequestSpec &spec, const TargetName & /*target*/) override
    {
        m_waiting.erase(spec.id);
    }

    void returned(const RequestSpec &spec) override
    {
        m_waiting.emplace(spec.id, spec);
    }

    void ended(const RequestSpec &spec, Verdict /*verdict*/, const std::optional<RunStats> & /*stats*/) override
    {
        m_waiting.erase(spec.id);
    }

    void targetStatus(const TargetStatus &status) override
    {
        m_targets[status.target] = status;
    }

    void targetGone(const TargetName &target) override
    {
        m_targets.erase(target);
    }

    void entryUp(const Peer & /*peer*/) override
    {
    }

    void entryDown(const Peer & /*peer*/) override
    {
    }

    void message(const Peer & /*from*/, const Message & /*message*/) override
    {
    }

    std::vector<Eviction> tick() override
    {
        std::vector<Eviction> evictions;
        const auto now = m_clock.now();
        for (const auto &[id, spec] : m_waiting) {
            if (spec.deadline <= now) {
                evictions.push_back(
                    {id, {RefusalReason::Expired, Verdict::NotRun, std::nullopt, "the deadline passed while waiting"}});
            }
        }
        return evictions;
    }

    bool isOpen(const ServiceName & /*service*/, Tier /*tier*/) const override
    {
        return true;
    }

private:
    std::vector<TargetName> usableTargets(const ServiceName &service, const std::vector<TargetName> &reserved) const
    {
        std::vector<TargetName> usable;
        for (const auto &[name, status] : m_targets) {
            const bool taken = std::find(reserved.begin(), reserved.end(), name) != reserved.end();
            if (status.service == service && status.accepting && !taken) {
                usable.push_back(name);
            }
        }
        return usable;
    }

    TargetName sampleBest(const std::vector<TargetName> &usable, const std::vector<TargetName> &chosen)
    {
        TargetName best;
        for (std::size_t n = 0; n < sampledTargets; ++n) {
            const auto &it = usable[m_random.below(usable.size())];
            const bool taken = std::find(chosen.begin(), chosen.end(), it) != chosen.end();
            if (!taken && (best.empty() || pressure(it) < pressure(best))) {
                best = it;
            }
        }
        return best;
    }

    double pressure(const TargetName &name) const
    {
        const auto &status = m_targets.at(name);
        double waiting = status.running;
        for (const auto &it : status.tiers) {
            waiting += it.waiting;
        }
        return waiting - status.freeSlots;
    }

    const Clock &m_clock;
    Random &m_random;
    ConfigurationPtr m_configuration;
    std::unordered_map<RequestId, RequestSpec> m_waiting;
    std::map<TargetName, TargetStatus> m_targets;
};

} // namespace

std::unique_ptr<EntryPolicy> makeEntryPolicy(const Peer & /*own*/,
                                             const RegionName & /*region*/,
                                             const Clock &clock,
                                             Random &random,
                                             EntryPolicyOutput & /*output*/,
                                             EventLog & /*events*/)
{
    return std::make_unique<LateBindingEntry>(clock, random);
}

} // namespace monsoonward
