#include "confirmation.h"

#include "edit.h"

#include <algorithm>
#include <set>

namespace monsoonward
{

namespace
{

constexpr Duration resolveTimeout =
    std::chrono::seconds(5); // how long an operator waits when the response to the write was lost
constexpr Duration resolveInterval = std::chrono::milliseconds(500);
constexpr std::size_t maxReportedChanges = 20;
const std::string regionUnreachable = "region-unreachable";

bool contains(const std::vector<std::string> &list, const std::string &text)
{
    return std::find(list.begin(), list.end(), text) != list.end();
}

} // namespace

Confirmation::Confirmation(const ControlOptions &options,
                           const Clock &clock,
                           const WallClock &wallClock,
                           Random &random,
                           GuardedStore &store,
                           Distribution &distribution,
                           Membership &membership,
                           Committer &committer,
                           EventLog &events)
    : m_options(options)
    , m_clock(clock)
    , m_wallClock(wallClock)
    , m_random(random)
    , m_store(store)
    , m_distribution(distribution)
    , m_membership(membership)
    , m_committer(committer)
    , m_events(events)
{
}

void Confirmation::confirm(const std::string &id,
                           const std::string &who,
                           const std::vector<std::string> &overrides,
                           const Callback &done)
{
    m_store.read(planPrefix + id, [this, id, who, overrides, done](const Result<std::optional<Row>> &result) {
        if (!result) {
            done({ConfirmOutcome::Unavailable, result.error().message, {}});
        } else if (!result.value()) {
            done({ConfirmOutcome::NotFound, "plan \"" + id + "\" does not exist", {}});
        } else {
            onPlanRead(*result.value(), who, overrides, done);
        }
    });
}

void Confirmation::onPlanRead(const Row &row,
                              const std::string &who,
                              const std::vector<std::string> &overrides,
                              const Callback &done)
{
    const auto decoded = decodeRecord<PlanRecord>(row.value);
    if (!decoded) {
        done({ConfirmOutcome::Unavailable, decoded.error().message, {}});
        return;
    }
    auto plan = decoded.value();
    if (plan.state != PlanState::Proposed) {
        done({ConfirmOutcome::Accepted, "confirmed before, by " + plan.confirmedBy, plan});
        return;
    }
    if (m_wallClock.milliseconds() > plan.expiresAt) {
        done({ConfirmOutcome::NotAccepted, "the plan has expired; compute it again", plan});
        return;
    }
    if (refuseUnsafePlan(plan, overrides, done)) {
        return;
    }
    plan.confirmedBy = who;
    commit(row, plan, done);
}

bool Confirmation::refuseUnsafePlan(PlanRecord &plan, const std::vector<std::string> &overrides, const Callback &done)
{
    auto &accepted = plan.intent.overrides;
    accepted.insert(accepted.end(), overrides.begin(), overrides.end());
    auto broken = plan.broken;
    const auto current = m_distribution.current();
    if (current) {
        for (const auto &it : unreachableRegions(*current)) {
            broken.push_back(
                {regionUnreachable, "region " + it + " does not answer, so the change can't be in force there"});
        }
    }
    for (const auto &it : broken) {
        if (!contains(accepted, it.reason)) {
            done({ConfirmOutcome::Refused, it.reason + ": " + it.detail, plan});
            return true;
        }
    }
    return false;
}

std::vector<std::string> Confirmation::unreachableRegions(const Configuration &configuration) const
{
    std::set<RegionName> silent;
    std::set<RegionName> answering {m_options.region};
    for (const auto &it : configuration.hosts) {
        const auto region = regionOf(configuration, it.name);
        const bool answers = m_membership.findAnswering(it.name) != nullptr;
        (answers ? answering : silent).insert(region);
    }
    std::vector<std::string> names;
    for (const auto &it : silent) {
        if (answering.count(it) == 0) {
            names.push_back(it.text());
        }
    }
    return names;
}

void Confirmation::commit(const Row &row, const PlanRecord &plan, const Callback &done)
{
    if (plan.base != m_distribution.revision()) {
        m_distribution.pollNow();
        replyWithLaterChanges(plan, "the plan was computed against revision " + std::to_string(plan.base), done);
        return;
    }
    const Configuration empty;
    const auto current = m_distribution.current();
    const auto change = changeOf(current ? *current : empty, plan.steps.front().edits);
    if (!change) {
        done({ConfirmOutcome::NotAccepted, change.error().message, plan});
        return;
    }
    auto attempt = std::make_shared<Attempt>();
    attempt->plan = plan;
    attempt->nonce = std::to_string(m_random.next());
    attempt->done = done;
    attempt->giveUpAt = m_clock.now() + resolveTimeout;
    auto &confirmed = attempt->plan;
    confirmed.confirmation = attempt->nonce;
    confirmed.confirmedAt = m_wallClock.milliseconds();
    confirmed.revision = plan.base + 1;
    confirmed.state = plan.steps.size() > 1 ? PlanState::Executing : PlanState::Done;
    const ExecutionRecord execution {
        plan.id, textOf(m_options.own.incarnation), m_options.own.host.text(), 1, confirmed.revision, 0};
    const LogRecord log {confirmed.revision,
                         confirmed.confirmedBy,
                         confirmed.confirmedAt,
                         plan.intent.kind + " " + plan.intent.subject + " " + plan.intent.value,
                         plan.id,
                         plan.intent.overrides};
    Commit commit;
    commit.base = plan.base;
    commit.change = change.value();
    commit.rows.push_back({planPrefix + plan.id, encodeRecord(confirmed), row.version});
    commit.rows.push_back(
        {logPrefix + paddedText(confirmed.revision) + "/" + plan.id, encodeRecord(log), std::nullopt});
    if (confirmed.state == PlanState::Executing) {
        commit.rows.push_back({executionPrefix + plan.id, encodeRecord(execution), 0});
    }
    m_committer.commit(commit, [this, attempt](const Result<Revision> &result) { onCommitted(attempt, result); });
}

void Confirmation::onCommitted(const AttemptPtr &attempt, const Result<Revision> &result)
{
    if (result) {
        accept(attempt);
        return;
    }
    const auto &error = result.error();
    // A conflict has to be resolved too: the plan may have been confirmed through another daemon at the same time.
    if (error.code == ErrorCode::Unknown || error.code == ErrorCode::Conflict) {
        m_unresolved.push_back(attempt);
        resolve(attempt);
    } else {
        attempt->done({ConfirmOutcome::Unavailable, error.message, attempt->plan});
    }
}

void Confirmation::accept(const AttemptPtr &attempt)
{
    m_events.record(Event::PlanAccepted,
                    Severity::Info,
                    "plan " + attempt->plan.id + " confirmed by " + attempt->plan.confirmedBy + ", revision "
                        + std::to_string(attempt->plan.revision));
    finish(attempt, {ConfirmOutcome::Accepted, "", attempt->plan});
}

void Confirmation::finish(const AttemptPtr &attempt, const ConfirmReply &reply)
{
    m_unresolved.remove(attempt);
    attempt->done(reply);
}

void Confirmation::tick()
{
    const auto now = m_clock.now();
    const auto unresolved = m_unresolved;
    for (const auto &it : unresolved) {
        if (it->storeCallPending) {
            continue;
        }
        if (now >= it->giveUpAt) {
            finish(it,
                   {ConfirmOutcome::Unknown,
                    "the store's answer was lost and it can't be read back; `monsoonctl plan " + it->plan.id
                        + "` finds out",
                    it->plan});
        } else if (now >= it->nextTry) {
            resolve(it);
        }
    }
}

void Confirmation::resolve(const AttemptPtr &attempt)
{
    attempt->storeCallPending = true;
    attempt->nextTry = m_clock.now() + resolveInterval;
    m_store.read(planPrefix + attempt->plan.id, [this, attempt](const Result<std::optional<Row>> &result) {
        attempt->storeCallPending = false;
        if (result) {
            resolveFromRow(attempt, result.value());
        }
    });
}

void Confirmation::resolveFromRow(const AttemptPtr &attempt, const std::optional<Row> &row)
{
    if (!row) {
        finish(attempt, {ConfirmOutcome::NotAccepted, "the plan is gone", attempt->plan});
        return;
    }
    const auto decoded = decodeRecord<PlanRecord>(row->value);
    if (!decoded) {
        return;
    }
    const auto &plan = decoded.value();
    if (plan.state != PlanState::Proposed) {
        m_distribution.pollNow();
        const bool isOwn = plan.confirmation == attempt->nonce;
        finish(attempt, {ConfirmOutcome::Accepted, isOwn ? "" : "confirmed before, by " + plan.confirmedBy, plan});
        return;
    }
    // The write is not visible yet. Raising the version of the row prevents it from taking effect later.
    attempt->storeCallPending = true;
    m_store.write({{row->key, row->value, row->version}}, [this, attempt](const Result<void> &result) {
        attempt->storeCallPending = false;
        if (result) {
            m_unresolved.remove(attempt);
            replyWithLaterChanges(attempt->plan, "the confirmation did not take effect", attempt->done);
        }
    });
}

void Confirmation::replyWithLaterChanges(const PlanRecord &plan, const std::string &message, const Callback &done)
{
    const auto after = logPrefix + paddedText(plan.base)
        + "0"; // '0' sorts after '/', so the scan starts after all rows of the base revision
    m_store.scan(logPrefix, after, maxReportedChanges, [plan, message, done](const Result<std::vector<Row>> &result) {
        auto text = message;
        if (result) {
            for (const auto &it : result.value()) {
                const auto log = decodeRecord<LogRecord>(it.value);
                if (log) {
                    text += "; since then, revision " + std::to_string(log.value().revision) + " by " + log.value().who
                        + ": " + log.value().what;
                }
            }
        }
        done({ConfirmOutcome::NotAccepted, text + "; compute the plan again", plan});
    });
}

} // namespace monsoonward
