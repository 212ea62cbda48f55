#include "configurationlists.h"
#include "edit.h"
#include "planner.h"

#include <algorithm>
#include <map>
#include <set>

namespace monsoonward
{

namespace
{

using SlotsByService = std::map<std::string, std::uint64_t>;

bool isInService(const Configuration &configuration, const TargetSpec &target)
{
    const auto *host = find(configuration.hosts, target.host);
    return target.state == ServingState::InService && host != nullptr && host->state == ServingState::InService;
}

/// @return the slots of all targets in service, by service. A target without engines (as in a plain service) counts as
/// one slot, and so does an engine without max-batch.
SlotsByService slotsOf(const Configuration &configuration)
{
    std::map<TargetName, std::uint64_t> byTarget;
    for (const auto &it : configuration.engines) {
        byTarget[it.target] += std::max<std::uint32_t>(it.maxBatch, 1);
    }
    SlotsByService slots;
    for (const auto &it : configuration.services) {
        slots[it.name.text()] = 0;
    }
    for (const auto &it : configuration.targets) {
        if (isInService(configuration, it)) {
            slots[it.service.text()] += std::max<std::uint64_t>(byTarget[it.name], 1);
        }
    }
    return slots;
}

/// Applies the steps of a plan to a copy of the configuration and records changes, capacity and guarantee violations.
class EffectsCalculator
{
public:
    EffectsCalculator(PlanRecord &plan, const Configuration &base, const Membership &membership)
        : m_plan(plan)
        , m_base(base)
        , m_membership(membership)
        , m_slotsBefore(slotsOf(base))
        , m_minimumSlots(m_slotsBefore)
        , m_current(base)
    {
    }

    Result<void> run()
    {
        for (const auto &it : m_plan.steps) {
            if (it.kind == StepKind::WaitDrained) {
                m_drainedTargets.insert(it.targets.begin(), it.targets.end());
            }
            if (it.kind != StepKind::Change) {
                continue;
            }
            BOOST_OUTCOME_TRY(change, changeOf(m_current, it.edits));
            const auto lines = describeChange(change, m_current);
            m_plan.changes.insert(m_plan.changes.end(), lines.begin(), lines.end());
            recordChange(change);
            m_current = applied(m_current, change);
            recordCapacity();
        }
        writeCapacity();
        checkServices();
        checkOperators();
        return boost::outcome_v2::success();
    }

private:
    void recordChange(const ConfigurationChange &change)
    {
        const auto next = applied(m_current, change);
        for (const auto &it : m_current.targets) {
            const auto *after = find(next.targets, it.name);
            const bool leavesService = after == nullptr || after->service != it.service;
            const bool stopsServing = isInService(m_current, it) && (leavesService || !isInService(next, *after));
            if (stopsServing || leavesService) {
                countRequests(it);
            }
            if (leavesService && m_drainedTargets.count(it.name.text()) == 0 && !isIdle(it)) {
                addViolation("cuts-requests",
                             "target " + it.name.text()
                                 + " would go while requests may be in progress there; drain it "
                                   "first");
            }
        }
    }

    bool isIdle(const TargetSpec &target) const
    {
        const auto *status = m_membership.target(target.name);
        return !isInService(m_current, target) && status != nullptr && status->running == 0;
    }

    void countRequests(const TargetSpec &target)
    {
        const auto *status = m_membership.target(target.name);
        if (m_countedTargets.insert(target.name).second && status != nullptr) {
            m_plan.requestsTouched += status->running;
        }
    }

    void recordCapacity()
    {
        const auto slots = slotsOf(m_current);
        for (auto &[service, minimum] : m_minimumSlots) {
            const auto it = slots.find(service);
            minimum = std::min(minimum, it == slots.end() ? 0 : it->second);
        }
        for (const auto &[service, count] : slots) {
            m_minimumSlots.emplace(service, count);
        }
    }

    std::uint64_t waitingOf(const std::string &service, Tier tier) const
    {
        std::uint64_t waiting = 0;
        for (const auto &target : m_base.targets) {
            const auto *status = m_membership.target(target.name);
            if (status == nullptr || target.service.text() != service) {
                continue;
            }
            for (const auto &it : status->tiers) {
                waiting += it.tier == tier ? it.waiting : 0;
            }
        }
        return waiting;
    }

    void writeCapacity()
    {
        auto after = slotsOf(m_current);
        for (const auto &[service, minimum] : m_minimumSlots) {
            const bool changes = m_slotsBefore[service] != minimum || m_slotsBefore[service] != after[service];
            for (const auto &it : m_current.tiers) {
                if (changes) {
                    const auto waiting = waitingOf(service, it.tier);
                    m_plan.capacity.push_back(
                        {service, it.tier.level(), m_slotsBefore[service], minimum, after[service], waiting});
                }
            }
        }
    }

    std::uint64_t runningOf(const std::string &service) const
    {
        std::uint64_t running = 0;
        for (const auto &it : m_base.targets) {
            const auto *status = m_membership.target(it.name);
            running += status != nullptr && it.service.text() == service ? status->running : 0;
        }
        return running;
    }

    void checkServices()
    {
        for (const auto &[service, minimum] : m_minimumSlots) {
            const auto before = m_slotsBefore[service];
            const bool remains = find(m_current.services, ServiceName(service)) != nullptr;
            if (before == 0 || minimum >= before) {
                continue;
            }
            if (minimum == 0 && remains) {
                addViolation("service-without-target", "service " + service + " would have no target in service");
            } else if (minimum < runningOf(service)) {
                addViolation("capacity-below-load",
                             "service " + service + " would have " + std::to_string(minimum) + " slots for "
                                 + std::to_string(runningOf(service)) + " requests in progress");
            }
        }
    }

    void checkOperators()
    {
        const auto mayConfirm = [](const OperatorSpec &it) {
            return std::find(it.rights.begin(), it.rights.end(), OperatorRight::Confirm) != it.rights.end();
        };
        const auto &operators = m_current.operators;
        const bool hasConfirmer = std::any_of(operators.begin(), operators.end(), mayConfirm);
        if (!operators.empty() && !hasConfirmer) {
            addViolation("no-confirming-operator", "no operator would have the right to confirm");
        }
    }

    void addViolation(const std::string &reason, const std::string &detail)
    {
        m_plan.broken.push_back({reason, detail});
    }

    PlanRecord &m_plan;
    const Configuration &m_base;
    const Membership &m_membership;
    SlotsByService m_slotsBefore;
    SlotsByService m_minimumSlots;
    Configuration m_current;
    std::set<TargetName> m_countedTargets;
    std::set<std::string> m_drainedTargets; ///< targets that an earlier step waits to drain
};

} // namespace

Result<void> computeEffects(PlanRecord &plan, const Configuration &base, const Membership &membership)
{
    return EffectsCalculator(plan, base, membership).run();
}

} // namespace monsoonward
