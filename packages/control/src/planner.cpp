#include "planner.h"

#include "configurationlists.h"
#include "edit.h"
#include "sectionreader.h"

namespace monsoonward
{

namespace
{

const std::string draining = "draining";
const std::string inService = "in-service";

Step changeStep(const std::string &text, std::vector<Edit> edits)
{
    return {StepKind::Change, text, std::move(edits), {}};
}

Step inForceStep()
{
    return {StepKind::WaitInForce, "wait until every daemon has the change in force", {}, {}};
}

Step drainedStep(const std::vector<std::string> &targets)
{
    return {StepKind::WaitDrained, "wait until no request is in progress there", {}, targets};
}

std::vector<std::string> targetsOn(const Configuration &configuration, const HostName &host)
{
    std::vector<std::string> names;
    for (const auto &it : configuration.targets) {
        if (it.host == host) {
            names.push_back(it.name.text());
        }
    }
    return names;
}

Error notDeclared(const std::string &kind, const std::string &name)
{
    return {ErrorCode::NotFound, kind + " \"" + name + "\" is not declared"};
}

Result<PlannedSteps> drainHost(const Intent &intent, const Configuration &base)
{
    const HostName host(intent.subject);
    if (find(base.hosts, host) == nullptr) {
        return notDeclared("host", intent.subject);
    }
    PlannedSteps plan;
    plan.steps.push_back(changeStep("give host " + intent.subject + " no new work",
                                    {{EditKind::SetHostState, intent.subject, draining}}));
    plan.steps.push_back(inForceStep());
    plan.steps.push_back(drainedStep(targetsOn(base, host)));
    plan.undo = "monsoonctl return-host " + intent.subject;
    return plan;
}

Result<PlannedSteps> removeHost(const Intent &intent, const Configuration &base)
{
    BOOST_OUTCOME_TRY(plan, drainHost(intent, base));
    auto result = plan;
    result.steps.push_back(changeStep("remove host " + intent.subject + " with its targets and engines",
                                      {{EditKind::RemoveHost, intent.subject, ""}}));
    result.steps.push_back(inForceStep());
    result.undo = "declare the host, its targets and engines again";
    return result;
}

Result<PlannedSteps> returnHost(const Intent &intent, const Configuration &base)
{
    const auto *host = find(base.hosts, HostName(intent.subject));
    if (host == nullptr) {
        return notDeclared("host", intent.subject);
    }
    PlannedSteps plan;
    plan.steps.push_back(changeStep("give host " + intent.subject + " work again",
                                    {{EditKind::SetHostState, intent.subject, inService}}));
    plan.steps.push_back(inForceStep());
    plan.undo = "monsoonctl drain-host " + intent.subject;
    return plan;
}

Result<PlannedSteps> drainTarget(const Intent &intent, const Configuration &base)
{
    if (find(base.targets, TargetName(intent.subject)) == nullptr) {
        return notDeclared("target", intent.subject);
    }
    PlannedSteps plan;
    plan.steps.push_back(changeStep("give target " + intent.subject + " no new work",
                                    {{EditKind::SetTargetState, intent.subject, draining}}));
    plan.steps.push_back(inForceStep());
    plan.steps.push_back(drainedStep({intent.subject}));
    plan.undo = "monsoonctl return-target " + intent.subject;
    return plan;
}

Result<PlannedSteps> returnTarget(const Intent &intent, const Configuration &base)
{
    if (find(base.targets, TargetName(intent.subject)) == nullptr) {
        return notDeclared("target", intent.subject);
    }
    PlannedSteps plan;
    plan.steps.push_back(changeStep("give target " + intent.subject + " work again",
                                    {{EditKind::SetTargetState, intent.subject, inService}}));
    plan.steps.push_back(inForceStep());
    plan.undo = "monsoonctl drain-target " + intent.subject;
    return plan;
}

std::string limitText(const CustomerSpec &customer, const std::string &key)
{
    const auto &limits = customer.limits;
    const double n = key == "requests-in-progress" ? limits.requestsInProgress
        : key == "tokens-in-progress"              ? limits.tokensInProgress
        : key == "requests-per-second"             ? limits.requestsPerSecond
        : key == "tokens-per-second"               ? limits.tokensPerSecond
                                                   : customer.weight;
    auto text = std::to_string(n);
    text.erase(text.find_last_not_of('0') + 1);
    if (text.back() == '.') {
        text.pop_back();
    }
    return key + "=" + text;
}

Result<PlannedSteps> setLimit(const Intent &intent, const Configuration &base)
{
    const auto *customer = find(base.customers, CustomerName(intent.subject));
    if (customer == nullptr) {
        return notDeclared("customer", intent.subject);
    }
    PlannedSteps plan;
    plan.steps.push_back(changeStep("set " + intent.value + " for customer " + intent.subject,
                                    {{EditKind::SetLimit, intent.subject, intent.value}}));
    plan.steps.push_back(inForceStep());
    const auto key = intent.value.substr(0, intent.value.find('='));
    plan.undo = "monsoonctl set-limit " + intent.subject + " " + limitText(*customer, key);
    return plan;
}

Result<PlannedSteps> setVersion(const Intent &intent, const Configuration &base)
{
    const auto *service = find(base.services, ServiceName(intent.subject));
    if (service == nullptr) {
        return notDeclared("service", intent.subject);
    }
    if (intent.value.empty()) {
        return Error {ErrorCode::Invalid, "a version is missing"};
    }
    PlannedSteps plan;
    plan.steps.push_back(changeStep("service " + intent.subject + " is at version " + intent.value,
                                    {{EditKind::SetServiceVersion, intent.subject, intent.value}}));
    plan.steps.push_back(inForceStep());
    for (const auto &it : base.targets) {
        if (it.service != service->name || it.state == ServingState::Draining) {
            continue;
        }
        const auto &name = it.name.text();
        plan.steps.push_back(
            changeStep("give target " + name + " no new work", {{EditKind::SetTargetState, name, draining}}));
        plan.steps.push_back(inForceStep());
        plan.steps.push_back(drainedStep({name}));
        plan.steps.push_back(
            changeStep("give target " + name + " work again", {{EditKind::SetTargetState, name, inService}}));
        plan.steps.push_back(inForceStep());
    }
    plan.undo = "monsoonctl set-version " + intent.subject + " " + service->version;
    return plan;
}

Result<PlannedSteps> moveTarget(const Intent &intent, const Configuration &base)
{
    const auto *target = find(base.targets, TargetName(intent.subject));
    if (target == nullptr) {
        return notDeclared("target", intent.subject);
    }
    if (find(base.services, ServiceName(intent.value)) == nullptr) {
        return notDeclared("service", intent.value);
    }
    BOOST_OUTCOME_TRY(drain, drainTarget(intent, base));
    auto plan = drain;
    plan.steps.push_back(changeStep("target " + intent.subject + " serves " + intent.value,
                                    {{EditKind::SetTargetService, intent.subject, intent.value}}));
    plan.steps.push_back(inForceStep());
    plan.steps.push_back(changeStep("give target " + intent.subject + " work again",
                                    {{EditKind::SetTargetState, intent.subject, inService}}));
    plan.steps.push_back(inForceStep());
    plan.undo = "monsoonctl move-target " + intent.subject + " " + target->service.text();
    return plan;
}

Result<PlannedSteps> editKey(const Intent &intent, const Configuration &base, EditKind kind)
{
    if (find(base.customers, CustomerName(intent.subject)) == nullptr) {
        return notDeclared("customer", intent.subject);
    }
    if (!isSha256(intent.value)) {
        return Error {ErrorCode::Invalid,
                      "\"" + intent.value + "\" is not a SHA-256 of 64 lower-case hexadecimal digits"};
    }
    const bool adds = kind == EditKind::AddKey;
    PlannedSteps plan;
    plan.steps.push_back(
        changeStep((adds ? "accept" : "refuse") + std::string(" the key of customer ") + intent.subject,
                   {{kind, intent.subject, intent.value}}));
    plan.steps.push_back(inForceStep());
    plan.undo = std::string("monsoonctl ") + (adds ? "remove-key " : "add-key ") + intent.subject + " " + intent.value;
    return plan;
}

} // namespace

Result<PlannedSteps> planSteps(const Intent &intent, const Configuration &base)
{
    if (intent.kind == "drain-host") {
        return drainHost(intent, base);
    }
    if (intent.kind == "return-host") {
        return returnHost(intent, base);
    }
    if (intent.kind == "remove-host") {
        return removeHost(intent, base);
    }
    if (intent.kind == "drain-target") {
        return drainTarget(intent, base);
    }
    if (intent.kind == "return-target") {
        return returnTarget(intent, base);
    }
    if (intent.kind == "set-limit") {
        return setLimit(intent, base);
    }
    if (intent.kind == "set-version") {
        return setVersion(intent, base);
    }
    if (intent.kind == "move-target") {
        return moveTarget(intent, base);
    }
    if (intent.kind == "add-key") {
        return editKey(intent, base, EditKind::AddKey);
    }
    if (intent.kind == "remove-key") {
        return editKey(intent, base, EditKind::RemoveKey);
    }
    return Error {ErrorCode::Invalid,
                  "intent \"" + intent.kind
                      + "\" is not one of: declare, drain-host, return-host, remove-host, drain-target, return-target, "
                        "set-limit, set-version, move-target, add-key, remove-key"};
}

PlannedSteps planSteps(const Configuration &base, const Configuration &desired)
{
    PlannedSteps plan;
    plan.steps.push_back(changeStep("put the declarations in force", {editOf(difference(base, desired))}));
    plan.steps.push_back(inForceStep());
    plan.undo = "declare the files as they were at revision " + std::to_string(base.revision);
    return plan;
}

} // namespace monsoonward
