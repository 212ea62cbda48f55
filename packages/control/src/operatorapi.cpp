#include "operatorapi.h"

#include "declared.h"
#include "edit.h"
#include "planner.h"
#include "recordsjson.h"
#include "replies.h"

#include <array>
#include <cstdio>

namespace monsoonward
{

namespace
{

using Json = nlohmann::json;

constexpr std::int64_t planLifetimeMs = std::int64_t {15} * 60 * 1000;
constexpr std::size_t maxResponseRows = 200;
constexpr std::size_t maxIdLength = 64;

std::string makePlanId(Random &random)
{
    constexpr std::uint64_t idBits = 0xffffffffffffU;
    std::array<char, 16> buf {};
    std::snprintf(buf.data(), buf.size(), "p%012llx", static_cast<unsigned long long>(random.next() & idBits));
    return buf.data();
}

/// @return the ID that follows @p prefix in @p path, without the query, or nullopt if there is no valid one
std::optional<std::string> idFromPath(const std::string &path, const std::string &prefix)
{
    if (path.rfind(prefix, 0) != 0) {
        return std::nullopt;
    }
    const auto id = path.substr(prefix.size(), path.find('?') - prefix.size());
    const bool isValid = !id.empty() && id.size() <= maxIdLength && id.find('/') == std::string::npos;
    return isValid ? std::optional<std::string>(id) : std::nullopt;
}

Intent intentOf(const Json &json)
{
    Intent intent;
    intent.kind = json.at("intent").get<std::string>();
    intent.subject = json.value("subject", std::string());
    intent.value = json.value("value", std::string());
    intent.overrides = json.value("override", std::vector<std::string>());
    return intent;
}

} // namespace

OperatorApi::OperatorApi(const ControlOptions &options,
                         const WallClock &wallClock,
                         Random &random,
                         GuardedStore &store,
                         Distribution &distribution,
                         Membership &membership,
                         Confirmation &confirmation,
                         PlanExecutor &executor,
                         EventLog &events)
    : m_options(options)
    , m_wallClock(wallClock)
    , m_random(random)
    , m_store(store)
    , m_distribution(distribution)
    , m_membership(membership)
    , m_confirmation(confirmation)
    , m_executor(executor)
    , m_events(events)
{
}

void OperatorApi::handle(const OperatorRequest &request, const Callback &done)
{
    if (!m_distribution.isTrusted()) {
        done(replies::unavailable("this daemon doesn't know yet which configuration is in force"));
        return;
    }
    const auto identity = authenticate(request.token, m_distribution.current(), m_options.bootstrapTokenHash);
    if (!identity) {
        m_events.record(Event::OperatorDenied, Severity::Warning, request.method + " " + request.path);
        done(replies::error(401, identity.error().message));
        return;
    }
    try {
        route(request, identity.value(), done);
    } catch (const nlohmann::json::exception &error) {
        done(replies::error(400, std::string("malformed body: ") + error.what()));
    }
}

void OperatorApi::route(const OperatorRequest &request, const OperatorIdentity &who, const Callback &done)
{
    const bool isPost = request.method == "POST";
    const auto path = request.path.substr(0, request.path.find('?'));
    const auto confirmId = idFromPath(path, "/operator/confirm/");
    const auto abortId = idFromPath(path, "/operator/abort/");
    const auto planId = idFromPath(path, "/operator/plan/");
    const bool isPlanRequest = isPost && path == "/operator/plan";
    const auto right = isPost && (confirmId || abortId) ? OperatorRight::Confirm
        : isPlanRequest                                 ? OperatorRight::Plan
                                                        : OperatorRight::Read;
    if (!hasRight(who, right)) {
        m_events.record(Event::OperatorDenied, Severity::Warning, who.name + ": " + request.method + " " + path);
        done(replies::error(403, "operator \"" + who.name + "\" lacks the right for " + request.method + " " + path));
    } else if (isPlanRequest) {
        createPlan(request, who, done);
    } else if (isPost && confirmId) {
        confirm(*confirmId, request, who, done);
    } else if (isPost && abortId) {
        abort(*abortId, who, done);
    } else if (isPost && path == "/operator/diff") {
        showDiff(request, done);
    } else if (isPost) {
        done(replies::error(404, "no such path: POST " + path));
    } else if (planId) {
        showPlan(*planId, done);
    } else if (path == "/operator/status") {
        showStatus(done);
    } else if (path == "/operator/log") {
        showLog(request.path, done);
    } else if (path == "/operator/export") {
        exportDeclarations(done);
    } else {
        done(replies::error(404, "no such path: " + request.method + " " + path));
    }
}

// ---- plans

void OperatorApi::createPlan(const OperatorRequest &request, const OperatorIdentity &who, const Callback &done)
{
    const auto json = Json::parse(request.body);
    const Configuration empty;
    const auto current = m_distribution.current();
    const auto &base = current ? *current : empty;
    PlanRecord record;
    record.id = makePlanId(m_random);
    record.base = base.revision;
    record.intent = intentOf(json);
    record.createdBy = who.name;
    record.createdAt = m_wallClock.milliseconds();
    record.expiresAt = record.createdAt + planLifetimeMs;
    PlannedSteps planned;
    if (record.intent.kind == "declare") {
        const auto declared = parseDeclareRequest(json, base);
        if (!declared.errors.empty()) {
            done(replies::errors(declared.errors));
            return;
        }
        planned = planSteps(base, declared.configuration);
    } else {
        const auto steps = planSteps(record.intent, base);
        if (!steps) {
            done(replies::error(400, steps.error().message));
            return;
        }
        planned = steps.value();
    }
    record.steps = planned.steps;
    record.undo = planned.undo;
    const auto effects = computeEffects(record, base, m_membership);
    if (!effects) {
        done(replies::error(400, effects.error().message));
        return;
    }
    if (record.changes.empty()) {
        done(replies::noChanges(base.revision));
        return;
    }
    storePlan(record, done);
}

void OperatorApi::storePlan(const PlanRecord &plan, const Callback &done)
{
    m_store.write({{planPrefix + plan.id, encodeRecord(plan), 0}}, [plan, done](const Result<void> &result) {
        if (result) {
            done(replies::plan(plan));
        } else {
            done(replies::unavailable("the plan could not be kept: " + result.error().message));
        }
    });
}

void OperatorApi::showPlan(const std::string &id, const Callback &done)
{
    m_store.read(planPrefix + id, [this, id, done](const Result<std::optional<Row>> &result) {
        if (!result) {
            done(replies::unavailable(result.error().message));
            return;
        }
        if (!result.value()) {
            done(replies::error(404, "plan \"" + id + "\" does not exist"));
            return;
        }
        const auto plan = decodeRecord<PlanRecord>(result.value()->value);
        if (!plan) {
            done(replies::unavailable(plan.error().message));
            return;
        }
        m_store.read(executionPrefix + id, [this, plan, done](const Result<std::optional<Row>> &row) {
            std::optional<ExecutionRecord> execution;
            std::string wait;
            if (row && row.value()) {
                const auto decoded = decodeRecord<ExecutionRecord>(row.value()->value);
                if (decoded && decoded.value().step < plan.value().steps.size()) {
                    execution = decoded.value();
                    wait = m_executor.waitOf(plan.value().steps[execution->step], execution->revision);
                }
            }
            done(replies::planProgress(plan.value(), execution, wait));
        });
    });
}

void OperatorApi::confirm(const std::string &id,
                          const OperatorRequest &request,
                          const OperatorIdentity &who,
                          const Callback &done)
{
    std::vector<std::string> overrides;
    if (!request.body.empty()) {
        overrides = Json::parse(request.body).value("override", overrides);
    }
    m_confirmation.confirm(id, who.name, overrides, [this, done](const ConfirmReply &reply) {
        m_executor.scanNow();
        done(replies::confirmation(reply));
    });
}

void OperatorApi::abort(const std::string &id, const OperatorIdentity &who, const Callback &done)
{
    m_store.read(planPrefix + id, [this, id, who, done](const Result<std::optional<Row>> &planRow) {
        if (!planRow || !planRow.value()) {
            done(planRow ? replies::error(404, "plan \"" + id + "\" does not exist")
                         : replies::unavailable(planRow.error().message));
            return;
        }
        const auto row = *planRow.value();
        m_store.read(executionPrefix + id, [this, id, who, row, done](const Result<std::optional<Row>> &execution) {
            const auto plan = decodeRecord<PlanRecord>(row.value);
            if (!execution || !plan) {
                done(replies::unavailable(execution ? plan.error().message : execution.error().message));
            } else if (!execution.value()) {
                done(replies::error(409, "plan \"" + id + "\" is not being executed"));
            } else {
                abortExecution(plan.value(), row, *execution.value(), who, done);
            }
        });
    });
}

void OperatorApi::abortExecution(const PlanRecord &plan,
                                 const Row &planRow,
                                 const Row &executionRow,
                                 const OperatorIdentity &who,
                                 const Callback &done)
{
    const auto execution = decodeRecord<ExecutionRecord>(executionRow.value);
    if (!execution) {
        done(replies::unavailable(execution.error().message));
        return;
    }
    auto aborted = plan;
    aborted.state = PlanState::Aborted;
    aborted.outcome = "stopped by " + who.name + " after step " + std::to_string(execution.value().step) + " of "
        + std::to_string(plan.steps.size()) + "; what these steps changed stands, undo: " + plan.undo;
    const LogRecord log {m_distribution.revision(), who.name, m_wallClock.milliseconds(), "abort", plan.id, {}};
    const auto logKey = logPrefix + paddedText(m_distribution.revision()) + "/" + plan.id + "-abort";
    m_store.write({{planRow.key, encodeRecord(aborted), planRow.version},
                   {executionRow.key, std::nullopt, executionRow.version},
                   {logKey, encodeRecord(log), std::nullopt}},
                  [this, aborted, done](const Result<void> &result) {
                      if (result) {
                          m_events.record(
                              Event::PlanAborted, Severity::Warning, "plan " + aborted.id + ": " + aborted.outcome);
                          done(replies::planProgress(aborted, std::nullopt, ""));
                      } else {
                          done(replies::abortFailed(aborted.id, result.error()));
                      }
                  });
}

// ---- read-only requests

std::string OperatorApi::statusText() const
{
    Json json {{"revision", m_distribution.revision()},
               {"trusted", m_distribution.isTrusted()},
               {"storeAnswers", !m_store.isTableDown()},
               {"daemons", Json::array()},
               {"waits", m_executor.waits()}};
    const auto current = m_distribution.current();
    if (!current) {
        return json.dump();
    }
    for (const auto &it : current->hosts) {
        const bool isOwn = it.name == m_options.own.host;
        const auto *view = m_membership.findAnswering(it.name);
        const auto revision = isOwn ? m_distribution.revision() : view == nullptr ? 0 : view->revision;
        json["daemons"].push_back({{"host", it.name.text()},
                                   {"region", regionOf(*current, it.name).text()},
                                   {"role", it.role == HostRole::Entry ? "entry" : "target"},
                                   {"state", it.state == ServingState::Draining ? "draining" : "in-service"},
                                   {"answers", isOwn || view != nullptr},
                                   {"revision", revision},
                                   {"inForce", revision >= m_distribution.revision()}});
    }
    return json.dump();
}

void OperatorApi::showStatus(const Callback &done)
{
    m_store.scan(executionPrefix, "", maxResponseRows, [this, done](const Result<std::vector<Row>> &result) {
        auto json = Json::parse(statusText());
        json["plans"] = Json::array();
        json["plansKnown"] = result.has_value();
        if (result) {
            for (const auto &it : result.value()) {
                const auto execution = decodeRecord<ExecutionRecord>(it.value);
                if (execution) {
                    json["plans"].push_back(execution.value());
                }
            }
        }
        done({200, json.dump()});
    });
}

void OperatorApi::showLog(const std::string &path, const Callback &done)
{
    const std::string afterKey = "?after=";
    const auto query = path.find(afterKey);
    const auto after = query == std::string::npos ? std::string() : path.substr(query + afterKey.size());
    const auto revision = after.empty() ? Result<std::uint64_t>(0) : parseNumber(after, UINT64_MAX);
    if (!revision) {
        done(replies::error(400, "after: " + revision.error().message));
        return;
    }
    const auto first = logPrefix + paddedText(revision.value()) + (after.empty() ? "" : "0");
    m_store.scan(logPrefix, first, maxResponseRows, [done](const Result<std::vector<Row>> &result) {
        if (!result) {
            done(replies::unavailable(result.error().message));
            return;
        }
        Json lines = Json::array();
        for (const auto &it : result.value()) {
            const auto record = decodeRecord<LogRecord>(it.value);
            if (record) {
                lines.push_back(record.value());
            }
        }
        done({200, Json {{"log", lines}, {"more", result.value().size() == maxResponseRows}}.dump()});
    });
}

void OperatorApi::exportDeclarations(const Callback &done)
{
    const auto current = m_distribution.current();
    const Configuration empty;
    const auto text = writeDeclarations(current ? *current : empty);
    done({200, Json {{"revision", m_distribution.revision()}, {"text", text}}.dump()});
}

void OperatorApi::showDiff(const OperatorRequest &request, const Callback &done)
{
    const Configuration empty;
    const auto current = m_distribution.current();
    const auto &base = current ? *current : empty;
    const auto declared = parseDeclareRequest(Json::parse(request.body), base);
    if (!declared.errors.empty()) {
        done(replies::errors(declared.errors));
        return;
    }
    const auto changes = describeChange(difference(base, declared.configuration), base);
    done({200, Json {{"revision", base.revision}, {"changes", changes}}.dump()});
}

} // namespace monsoonward
