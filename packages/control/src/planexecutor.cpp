#include "planexecutor.h"

#include "edit.h"

#include <algorithm>

namespace monsoonward
{

namespace
{

constexpr Duration scanInterval = std::chrono::seconds(2);
constexpr Duration leaseLength = std::chrono::seconds(6);
constexpr Duration renewalThreshold = std::chrono::seconds(4); // the lease is renewed when less than this is left
constexpr std::size_t plansPerScan = 100;

std::string joinNames(const std::vector<std::string> &names)
{
    constexpr std::size_t maxNames = 5;
    std::string text;
    for (std::size_t n = 0; n < std::min(maxNames, names.size()); ++n) {
        text += (n == 0 ? "" : ", ") + names[n];
    }
    return names.size() > maxNames ? text + " and " + std::to_string(names.size() - maxNames) + " more" : text;
}

} // namespace

PlanExecutor::PlanExecutor(const ControlOptions &options,
                           const Clock &clock,
                           GuardedStore &store,
                           Distribution &distribution,
                           Membership &membership,
                           Committer &committer,
                           EventLog &events)
    : m_options(options)
    , m_clock(clock)
    , m_store(store)
    , m_distribution(distribution)
    , m_membership(membership)
    , m_committer(committer)
    , m_events(events)
    , m_nextScan(clock.now())
{
}

void PlanExecutor::scanNow()
{
    m_scanWanted = true;
    m_nextScan = m_clock.now();
}

void PlanExecutor::tick()
{
    if (m_options.role != HostRole::Entry) {
        return; // a target daemon is not connected to other targets, so it cannot tell which revision they have
    }
    const bool isLeader = m_distribution.isTrusted() && m_membership.isLeader(m_distribution.current());
    if (!m_scanning && m_clock.now() >= m_nextScan && (isLeader || m_scanWanted)) {
        scan();
    }
    std::vector<std::string> ids;
    for (const auto &it : m_leasedPlans) {
        ids.push_back(it.first);
    }
    for (const auto &it : ids) {
        runStep(it);
    }
}

std::map<std::string, std::string> PlanExecutor::waits() const
{
    std::map<std::string, std::string> waits;
    for (const auto &[id, leased] : m_leasedPlans) {
        waits[id] = leased.wait;
    }
    return waits;
}

// ---- leases

bool PlanExecutor::isOwn(const ExecutionRecord &execution) const
{
    return execution.holder == textOf(m_options.own.incarnation);
}

void PlanExecutor::scan()
{
    m_scanning = true;
    const bool wasWanted = std::exchange(m_scanWanted, false);
    m_nextScan = m_clock.now() + scanInterval;
    m_store.scan(executionPrefix, "", plansPerScan, [this, wasWanted](const Result<std::vector<Row>> &result) {
        m_scanning = false;
        if (!result) {
            m_scanWanted = m_scanWanted || wasWanted;
            return;
        }
        auto previous = std::exchange(m_observedLeases, {});
        for (const auto &it : result.value()) {
            const auto observed = previous.find(it.key);
            if (observed != previous.end() && observed->second.version == it.version) {
                m_observedLeases[it.key] = observed->second;
            } else {
                m_observedLeases[it.key] = {it.version, m_clock.now()};
            }
            checkLease(it);
        }
    });
}

void PlanExecutor::checkLease(const Row &row)
{
    const auto execution = decodeRecord<ExecutionRecord>(row.value);
    if (!execution || m_leasedPlans.count(execution.value().plan) != 0) {
        return;
    }
    const bool hasExpired = m_clock.now() - m_observedLeases[row.key].since > leaseLength;
    if (isOwn(execution.value()) || hasExpired) {
        acquireLease(row, execution.value());
    }
}

/// Writes the execution row even if this daemon already holds the lease: any write still in flight that expects the
/// previous version of the row then fails.
void PlanExecutor::acquireLease(const Row &row, ExecutionRecord execution)
{
    const auto previousHost = execution.holderHost;
    const bool wasHolder = isOwn(execution);
    execution.holder = textOf(m_options.own.incarnation);
    execution.holderHost = m_options.own.host.text();
    ++execution.renewals;
    m_store.write({{row.key, encodeRecord(execution), row.version}},
                  [this, execution, previousHost, wasHolder](const Result<void> &result) {
                      if (!result) {
                          return;
                      }
                      if (!wasHolder) {
                          m_events.record(Event::PlanLeaseTaken,
                                          Severity::Warning,
                                          "took over plan " + execution.plan + " from host " + previousHost
                                              + " at step " + std::to_string(execution.step));
                      }
                      load(execution);
                  });
}

void PlanExecutor::load(const ExecutionRecord &execution)
{
    m_store.read(executionPrefix + execution.plan, [this, execution](const Result<std::optional<Row>> &row) {
        if (!row || !row.value()) {
            return;
        }
        const auto executionRow = *row.value();
        m_store.read(planPrefix + execution.plan, [this, execution, executionRow](const auto &plan) {
            if (plan && plan.value()) {
                onLoaded(execution, executionRow, *plan.value());
            }
        });
    });
}

void PlanExecutor::onLoaded(const ExecutionRecord &execution, const Row &executionRow, const Row &planRow)
{
    const auto plan = decodeRecord<PlanRecord>(planRow.value);
    if (!plan || executionRow.value != encodeRecord(execution)) {
        return; // another daemon has acquired the lease in the meantime
    }
    m_leasedPlans[execution.plan] = {
        plan.value(), execution, executionRow.version, m_clock.now() + leaseLength, {}, false};
    runStep(execution.plan);
}

void PlanExecutor::forgetPlan(const std::string &id)
{
    m_leasedPlans.erase(id);
}

void PlanExecutor::forgetAndRescan(const std::string &id)
{
    forgetPlan(id);
    scanNow();
}

// ---- steps

void PlanExecutor::runStep(const std::string &id)
{
    const auto it = m_leasedPlans.find(id);
    if (it == m_leasedPlans.end() || it->second.storeCallPending) {
        return;
    }
    auto &leased = it->second;
    const auto now = m_clock.now();
    if (now >= leased.leaseEnd) {
        forgetAndRescan(id);
        return;
    }
    if (leased.execution.step >= leased.plan.steps.size()) {
        finish(id, PlanState::Done, "all " + std::to_string(leased.plan.steps.size()) + " steps are done");
        return;
    }
    const auto &step = leased.plan.steps[leased.execution.step];
    if (step.kind == StepKind::Change) {
        applyStep(leased, step);
        return;
    }
    const auto returned = returnedTargets(step, leased.execution.revision);
    if (!returned.empty()) {
        finish(id,
               PlanState::Aborted,
               "stopped after step " + std::to_string(leased.execution.step) + " of "
                   + std::to_string(leased.plan.steps.size()) + ": another plan gave work again to "
                   + joinNames(returned) + "; what these steps changed stands, undo: " + leased.plan.undo);
        return;
    }
    leased.wait = waitOf(step, leased.execution.revision);
    auto next = leased.execution;
    if (leased.wait.empty()) {
        ++next.step;
        advance(id, next);
    } else if (leased.leaseEnd - now <= renewalThreshold) {
        ++next.renewals;
        advance(id, next);
    }
}

void PlanExecutor::applyStep(LeasedPlan &leased, const Step &step)
{
    const auto current = m_distribution.current();
    const auto id = leased.plan.id;
    if (!current || current->revision < leased.execution.revision) {
        leased.wait = "this daemon to learn revision " + std::to_string(leased.execution.revision);
        m_distribution.pollNow();
        return;
    }
    const auto edits = changeOf(*current, step.edits);
    if (!edits) {
        leased.wait = "an operator: " + edits.error().message;
        return;
    }
    auto next = leased.execution;
    ++next.step;
    if (isEmpty(edits.value())) {
        advance(id, next);
        return;
    }
    next.revision = current->revision + 1;
    const LogRecord log {next.revision, leased.plan.confirmedBy, leased.plan.confirmedAt, step.text, id, {}};
    Commit commit;
    commit.base = current->revision;
    commit.change = edits.value();
    commit.rows.push_back({executionPrefix + id, encodeRecord(next), leased.version});
    commit.rows.push_back({logPrefix + paddedText(next.revision) + "/" + id, encodeRecord(log), std::nullopt});
    leased.storeCallPending = true;
    m_committer.commit(commit, [this, id, next](const Result<Revision> &result) {
        if (result) {
            stepDone(id, next, boost::outcome_v2::success());
        } else {
            stepDone(id, next, result.error());
        }
    });
}

void PlanExecutor::advance(const std::string &id, const ExecutionRecord &next)
{
    auto &leased = m_leasedPlans.at(id);
    leased.storeCallPending = true;
    m_store.write({{executionPrefix + id, encodeRecord(next), leased.version}},
                  [this, id, next](const Result<void> &result) { stepDone(id, next, result); });
}

void PlanExecutor::stepDone(const std::string &id, const ExecutionRecord &next, const Result<void> &result)
{
    const auto it = m_leasedPlans.find(id);
    if (it == m_leasedPlans.end()) {
        return;
    }
    if (!result) {
        // The row shows what took effect. Acquiring the lease again makes a write that is still in flight fail.
        forgetAndRescan(id);
        return;
    }
    if (next.step > it->second.execution.step) {
        m_events.record(Event::PlanStep,
                        Severity::Info,
                        "plan " + id + " completed step " + std::to_string(next.step) + " of "
                            + std::to_string(it->second.plan.steps.size()));
    }
    forgetPlan(id);
    load(next);
}

void PlanExecutor::finish(const std::string &id, PlanState state, const std::string &outcome)
{
    auto &leased = m_leasedPlans.at(id);
    leased.storeCallPending = true;
    m_store.read(planPrefix + id, [this, id, state, outcome](const Result<std::optional<Row>> &result) {
        const auto it = m_leasedPlans.find(id);
        if (it == m_leasedPlans.end()) {
            return;
        }
        if (!result || !result.value()) {
            forgetAndRescan(id);
            return;
        }
        auto plan = it->second.plan;
        plan.state = state;
        plan.outcome = outcome;
        m_store.write({{planPrefix + id, encodeRecord(plan), result.value()->version},
                       {executionPrefix + id, std::nullopt, it->second.version}},
                      [this, id, state, outcome](const Result<void> &written) {
                          if (written) {
                              const bool done = state == PlanState::Done;
                              m_events.record(done ? Event::PlanFinished : Event::PlanAborted,
                                              done ? Severity::Info : Severity::Warning,
                                              "plan " + id + ": " + outcome);
                              forgetPlan(id);
                          } else {
                              forgetAndRescan(id);
                          }
                      });
    });
}

// ---- waiting

std::string PlanExecutor::waitOf(const Step &step, Revision revision) const
{
    if (step.kind == StepKind::WaitInForce) {
        return waitForRevision(revision);
    }
    if (step.kind == StepKind::WaitDrained) {
        return waitForDrain(step.targets);
    }
    return "the change to be accepted";
}

std::string PlanExecutor::waitForRevision(Revision revision) const
{
    const auto current = m_distribution.current();
    if (!current || current->revision < revision) {
        return "this daemon to learn revision " + std::to_string(revision);
    }
    std::vector<std::string> hosts;
    for (const auto &it : current->hosts) {
        const auto *view = m_membership.findAnswering(it.name);
        const bool isOwnHost = it.name == m_options.own.host;
        if (!isOwnHost && (view == nullptr || view->revision < revision)) {
            hosts.push_back(it.name.text());
        }
    }
    return hosts.empty() ? "" : "revision " + std::to_string(revision) + " to be in force at " + joinNames(hosts);
}

std::vector<std::string> PlanExecutor::returnedTargets(const Step &step, Revision revision) const
{
    std::vector<std::string> returned;
    const auto current = m_distribution.current();
    if (step.kind != StepKind::WaitDrained || !current || current->revision <= revision) {
        return returned;
    }
    for (const auto &it : step.targets) {
        const auto *target = find(current->targets, TargetName(it));
        const auto *host = target != nullptr ? find(current->hosts, target->host) : nullptr;
        if (host != nullptr && target->state == ServingState::InService && host->state == ServingState::InService) {
            returned.push_back(it);
        }
    }
    return returned;
}

std::string PlanExecutor::waitForDrain(const std::vector<std::string> &targets) const
{
    const auto current = m_distribution.current();
    std::vector<std::string> busy;
    for (const auto &it : targets) {
        const auto *status = m_membership.target(TargetName(it));
        const bool exists = !current || find(current->targets, TargetName(it)) != nullptr;
        if (exists && (status == nullptr || status->accepting || status->running != 0)) {
            busy.push_back(it + (status == nullptr ? " (silent)" : " (" + std::to_string(status->running) + ")"));
        }
    }
    return busy.empty() ? "" : "requests in progress at " + joinNames(busy);
}

} // namespace monsoonward
