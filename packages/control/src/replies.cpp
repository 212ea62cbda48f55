#include "replies.h"

#include "recordsjson.h"

namespace monsoonward::replies
{

namespace
{

using Json = nlohmann::json;

constexpr unsigned statusOk = 200;
constexpr unsigned statusInvalid = 400;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusConflict = 409;
constexpr unsigned statusRefused = 422;
constexpr unsigned statusUnknown = 502;
constexpr unsigned statusUnavailable = 503;

std::string dumpJson(const Json &json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

/// Omits the edits of each step: they are an internal encoding, and the step text describes them.
Json planJson(const PlanRecord &plan)
{
    Json json(plan);
    for (auto &it : json["steps"]) {
        it.erase("edits");
    }
    return json;
}

struct Outcome
{
    unsigned status = 0;
    const char *name = "";
};

Outcome outcomeOf(ConfirmOutcome outcome)
{
    switch (outcome) {
    case ConfirmOutcome::Accepted:
        return {statusOk, "accepted"};
    case ConfirmOutcome::NotAccepted:
        return {statusConflict, "not accepted"};
    case ConfirmOutcome::Unavailable:
        return {statusUnavailable, "not accepted"};
    case ConfirmOutcome::NotFound:
        return {statusNotFound, "not accepted"};
    case ConfirmOutcome::Refused:
        return {statusRefused, "not accepted"};
    case ConfirmOutcome::Unknown:
        break;
    }
    return {statusUnknown, "unknown"};
}

} // namespace

OperatorReply error(unsigned status, const std::string &message)
{
    return {status, dumpJson({{"error", message}})};
}

OperatorReply errors(const std::vector<IniError> &errors)
{
    Json list = Json::array();
    for (const auto &it : errors) {
        list.push_back({{"file", it.file}, {"line", it.line}, {"key", it.key}, {"message", it.message}});
    }
    return {statusInvalid, dumpJson({{"errors", list}})};
}

OperatorReply unavailable(const std::string &message)
{
    return error(statusUnavailable, message);
}

OperatorReply noChanges(Revision revision)
{
    return {statusOk, dumpJson({{"changes", Json::array()}, {"revision", revision}})};
}

OperatorReply plan(const PlanRecord &plan)
{
    return {statusOk, dumpJson(planJson(plan))};
}

OperatorReply
planProgress(const PlanRecord &plan, const std::optional<ExecutionRecord> &execution, const std::string &wait)
{
    auto json = planJson(plan);
    if (execution) {
        json["execution"] = *execution;
        json["waitsFor"] = wait;
    }
    return {statusOk, dumpJson(json)};
}

OperatorReply confirmation(const ConfirmReply &reply)
{
    const auto outcome = outcomeOf(reply.outcome);
    Json json {{"outcome", outcome.name}, {"plan", reply.plan.id}};
    if (reply.outcome == ConfirmOutcome::Accepted) {
        json["revision"] = reply.plan.revision;
        json["note"] = reply.message;
    } else {
        json["error"] = reply.message;
    }
    if (reply.outcome == ConfirmOutcome::Unknown) {
        json["command"] = "monsoonctl plan " + reply.plan.id;
    }
    return {outcome.status, dumpJson(json)};
}

OperatorReply abortFailed(const std::string &id, const Error &error)
{
    if (error.code == ErrorCode::Unknown) {
        const auto command = "monsoonctl plan " + id;
        return {statusUnknown,
                dumpJson({{"outcome", "unknown"}, {"command", command}, {"error", "the store's answer was lost"}})};
    }
    if (error.code == ErrorCode::Conflict) {
        return replies::error(statusConflict, "the plan went on meanwhile; abort it again");
    }
    return unavailable(error.message);
}

} // namespace monsoonward::replies
