#include "planexecutor.h"

#include "edit.h"

#include <algorithm>

namespace monsoonward
{

namespace
{

constexpr Duration scanInterval = std::chrono::seconds(2);
constexpr Duration leaseLength = std::chrono::seconds(6);
constexpr Duration renewBefore = std::chrono::seconds(4); // the lease is renewed when so much of it is left
constexpr std::size_t plansPerScan = 100;

std::string joined(const std::vector<std::string> &names)
{
    constexpr std::size_t shown = 5;
    std::string text;
    for (std::size_t n = 0; n < std::min(shown, names.size()); ++n) {
        text += (n == 0 ? "" : ", ") + names[n];
    }
    return names.size() > shown ? text + " and " + std::to_string(names.size() - shown) + " more" : text;
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
        return; // a target daemon isn't connected to other targets, so it can't tell what is in force there
    }
    const bool isLeader = m_distribution.isTrusted() && m_membership.isLeader(m_distribution.current());
    if (!m_scanning && m_clock.now() >= m_nextScan && (isLeader || m_scanWanted)) {
        scan();
    }
    std::vector<std::string> ids;
    for (const auto &it : m_held) {
        ids.push_back(it.first);
    }
    for (const auto &it : ids) {
        run(it);
    }
}

std::map<std::string, std::string> PlanExecutor::waits() const
{
    std::map<std::string, std::string> waits;
    for (const auto &[id, held] : m_held) {
        waits[id] = held.wait;
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
    const bool wanted = std::exchange(m_scanWanted, false);
    m_nextScan = m_clock.now() + scanInterval;
    m_store.scan(executionPrefix, "", plansPerScan, [this, wanted](const Result<std::vector<Row>> &result) {
        m_scanning = false;
        if (!result) {
            m_scanWanted = m_scanWanted || wanted;
            return;
        }
        auto watched = std::exchange(m_watched, {});
        for (const auto &it : result.value()) {
            const auto known = watched.find(it.key);
            if (known != watched.end() && known->second.version == it.version) {
                m_watched[it.key] = known->second;
            } else {
                m_watched[it.key] = {it.version, m_clock.now()};
            }
            seen(it);
        }
    });
}

void PlanExecutor::seen(const Row &row)
{
    const auto execution = decodeRecord<ExecutionRecord>(row.value);
    if (!execution || m_held.count(execution.value().plan) != 0) {
        return;
    }
    const bool hasLapsed = m_clock.now() - m_watched[row.key].since > leaseLength;
    if (isOwn(execution.value()) || hasLapsed) {
        take(row, execution.value());
    }
}

/// Writing the row, also an own one, makes every write that is still under way with its former version fail.
void PlanExecutor::take(const Row &row, ExecutionRecord execution)
{
    const auto former = execution.holderHost;
    const bool wasOwn = isOwn(execution);
    execution.holder = textOf(m_options.own.incarnation);
    execution.holderHost = m_options.own.host.text();
    ++execution.renewals;
    m_store.write({{row.key, encodeRecord(execution), row.version}},
                  [this, execution, former, wasOwn](const Result<void> &result) {
                      if (!result) {
                          return;
                      }
                      if (!wasOwn) {
                          m_events.record(Event::PlanLeaseTaken,
                                          Severity::Warning,
                                          "plan " + execution.plan + " from " + former + " at step "
                                              + std::to_string(execution.step));
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
                loaded(execution, executionRow, *plan.value());
            }
        });
    });
}

void PlanExecutor::loaded(const ExecutionRecord &execution, const Row &executionRow, const Row &planRow)
{
    const auto plan = decodeRecord<PlanRecord>(planRow.value);
    if (!plan || executionRow.value != encodeRecord(execution)) {
        return; // another daemon took the lease meanwhile
    }
    m_held[execution.plan] = {plan.value(), execution, executionRow.version, m_clock.now() + leaseLength, {}, false};
    run(execution.plan);
}

void PlanExecutor::drop(const std::string &id)
{
    m_held.erase(id);
}

void PlanExecutor::reload(const std::string &id)
{
    drop(id);
    scanNow();
}

// ---- steps

void PlanExecutor::run(const std::string &id)
{
    const auto it = m_held.find(id);
    if (it == m_held.end() || it->second.busy) {
        return;
    }
    auto &held = it->second;
    const auto now = m_clock.now();
    if (now >= held.leaseEnd) {
        reload(id);
        return;
    }
    if (held.execution.step >= held.plan.steps.size()) {
        finish(id, PlanState::Done, "all " + std::to_string(held.plan.steps.size()) + " steps are done");
        return;
    }
    const auto &step = held.plan.steps[held.execution.step];
    if (step.kind == StepKind::Change) {
        change(held, step);
        return;
    }
    const auto returned = returnedTargets(step, held.execution.revision);
    if (!returned.empty()) {
        finish(id,
               PlanState::Aborted,
               "stopped after step " + std::to_string(held.execution.step) + " of "
                   + std::to_string(held.plan.steps.size()) + ": another plan gave work again to " + joined(returned)
                   + "; what these steps changed stands, undo: " + held.plan.undo);
        return;
    }
    held.wait = waitOf(step, held.execution.revision);
    auto next = held.execution;
    if (held.wait.empty()) {
        ++next.step;
        advance(id, next);
    } else if (held.leaseEnd - now <= renewBefore) {
        ++next.renewals;
        advance(id, next);
    }
}

void PlanExecutor::change(Held &held, const Step &step)
{
    const auto current = m_distribution.current();
    const auto id = held.plan.id;
    if (!current || current->revision < held.execution.revision) {
        held.wait = "this daemon to learn revision " + std::to_string(held.execution.revision);
        m_distribution.pollNow();
        return;
    }
    const auto edits = changeOf(*current, step.edits);
    if (!edits) {
        held.wait = "an operator: " + edits.error().message;
        return;
    }
    auto next = held.execution;
    ++next.step;
    if (isEmpty(edits.value())) {
        advance(id, next);
        return;
    }
    next.revision = current->revision + 1;
    const LogRecord log {next.revision, held.plan.confirmedBy, held.plan.confirmedAt, step.text, id, {}};
    Commit commit;
    commit.base = current->revision;
    commit.change = edits.value();
    commit.rows.push_back({executionPrefix + id, encodeRecord(next), held.version});
    commit.rows.push_back({logPrefix + paddedText(next.revision) + "/" + id, encodeRecord(log), std::nullopt});
    held.busy = true;
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
    auto &held = m_held.at(id);
    held.busy = true;
    m_store.write({{executionPrefix + id, encodeRecord(next), held.version}},
                  [this, id, next](const Result<void> &result) { stepDone(id, next, result); });
}

void PlanExecutor::stepDone(const std::string &id, const ExecutionRecord &next, const Result<void> &result)
{
    const auto it = m_held.find(id);
    if (it == m_held.end()) {
        return;
    }
    if (!result) {
        // The row tells what took effect; taking it again shuts out a write that is still under way.
        reload(id);
        return;
    }
    if (next.step > it->second.execution.step) {
        m_events.record(Event::PlanStep,
                        Severity::Info,
                        "plan " + id + " step " + std::to_string(next.step) + " of "
                            + std::to_string(it->second.plan.steps.size()));
    }
    drop(id);
    load(next);
}

void PlanExecutor::finish(const std::string &id, PlanState state, const std::string &outcome)
{
    auto &held = m_held.at(id);
    held.busy = true;
    m_store.read(planPrefix + id, [this, id, state, outcome](const Result<std::optional<Row>> &result) {
        const auto it = m_held.find(id);
        if (it == m_held.end()) {
            return;
        }
        if (!result || !result.value()) {
            reload(id);
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
                              drop(id);
                          } else {
                              reload(id);
                          }
                      });
    });
}

// ---- waiting

std::string PlanExecutor::waitOf(const Step &step, Revision revision) const
{
    if (step.kind == StepKind::WaitInForce) {
        return inForceWait(revision);
    }
    if (step.kind == StepKind::WaitDrained) {
        return drainedWait(step.targets);
    }
    return "the change to be accepted";
}

std::string PlanExecutor::inForceWait(Revision revision) const
{
    const auto current = m_distribution.current();
    if (!current || current->revision < revision) {
        return "this daemon to learn revision " + std::to_string(revision);
    }
    std::vector<std::string> hosts;
    for (const auto &it : current->hosts) {
        const auto *view = m_membership.answering(it.name);
        const bool isOwnHost = it.name == m_options.own.host;
        if (!isOwnHost && (view == nullptr || view->revision < revision)) {
            hosts.push_back(it.name.text());
        }
    }
    return hosts.empty() ? "" : "revision " + std::to_string(revision) + " to be in force at " + joined(hosts);
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

std::string PlanExecutor::drainedWait(const std::vector<std::string> &targets) const
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
    return busy.empty() ? "" : "requests in progress at " + joined(busy);
}

} // namespace monsoonward
