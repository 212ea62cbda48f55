#include "edit.h"

#include "configurationlists.h"
#include "validation.h"

#include <monsoonward/ini/ini.h>

#include <boost/algorithm/hex.hpp>

#include <algorithm>
#include <cstdlib>
#include <limits>

namespace monsoonward
{

namespace
{

Error notDeclared(const std::string &kind, const std::string &name)
{
    return {ErrorCode::NotFound, kind + " \"" + name + "\" is not declared"};
}

Result<ServingState> stateOf(const std::string &text)
{
    if (text == "in-service") {
        return ServingState::InService;
    }
    if (text == "draining") {
        return ServingState::Draining;
    }
    return Error {ErrorCode::Invalid, "\"" + text + "\" is not one of: in-service, draining"};
}

Result<void> setHostState(Configuration &configuration, const Edit &edit)
{
    auto *host = findByKey(configuration.hosts, HostName(edit.subject));
    if (host == nullptr) {
        return notDeclared("host", edit.subject);
    }
    BOOST_OUTCOME_TRY(state, stateOf(edit.value));
    host->state = state;
    return boost::outcome_v2::success();
}

Result<void> setTargetState(Configuration &configuration, const Edit &edit)
{
    auto *target = findByKey(configuration.targets, TargetName(edit.subject));
    if (target == nullptr) {
        return notDeclared("target", edit.subject);
    }
    BOOST_OUTCOME_TRY(state, stateOf(edit.value));
    target->state = state;
    return boost::outcome_v2::success();
}

template<class List, class Condition>
void removeIf(List &list, Condition condition)
{
    list.erase(std::remove_if(list.begin(), list.end(), condition), list.end());
}

Result<void> removeHost(Configuration &configuration, const Edit &edit)
{
    const HostName name(edit.subject);
    removeIf(configuration.engines, [&](const EngineSpec &it) {
        const auto *target = find(configuration.targets, it.target);
        return target != nullptr && target->host == name;
    });
    removeIf(configuration.targets, [&](const TargetSpec &it) { return it.host == name; });
    removeIf(configuration.hosts, [&](const HostSpec &it) { return it.name == name; });
    return boost::outcome_v2::success();
}

Result<void> setTargetService(Configuration &configuration, const Edit &edit)
{
    auto *target = findByKey(configuration.targets, TargetName(edit.subject));
    if (target == nullptr) {
        return notDeclared("target", edit.subject);
    }
    if (find(configuration.services, ServiceName(edit.value)) == nullptr) {
        return notDeclared("service", edit.value);
    }
    target->service = ServiceName(edit.value);
    return boost::outcome_v2::success();
}

Result<void> setServiceVersion(Configuration &configuration, const Edit &edit)
{
    auto *service = findByKey(configuration.services, ServiceName(edit.subject));
    if (service == nullptr) {
        return notDeclared("service", edit.subject);
    }
    service->version = edit.value;
    return boost::outcome_v2::success();
}

Result<std::uint32_t> parseIntegerLimit(const std::string &text)
{
    BOOST_OUTCOME_TRY(n, parseNumber(text, std::numeric_limits<std::uint32_t>::max()));
    return static_cast<std::uint32_t>(n);
}

Result<double> parseNumericLimit(const std::string &text)
{
    char *end = nullptr;
    const double n = std::strtod(text.c_str(), &end);
    const bool isComplete = !text.empty() && *end == '\0';
    if (!isComplete || !(n >= 0) || n > std::numeric_limits<std::uint32_t>::max()) {
        return Error {ErrorCode::Invalid, "\"" + text + "\" is not a number from 0 up"};
    }
    return n;
}

Result<void> setLimit(Configuration &configuration, const Edit &edit)
{
    auto *customer = findByKey(configuration.customers, CustomerName(edit.subject));
    if (customer == nullptr) {
        return notDeclared("customer", edit.subject);
    }
    const auto equals = std::min(edit.value.find('='), edit.value.size());
    const auto key = edit.value.substr(0, equals);
    const auto text = edit.value.substr(std::min(equals + 1, edit.value.size()));
    auto &limits = customer->limits;
    if (key == "requests-in-progress") {
        BOOST_OUTCOME_TRY(n, parseIntegerLimit(text));
        limits.requestsInProgress = n;
    } else if (key == "tokens-in-progress") {
        BOOST_OUTCOME_TRY(n, parseIntegerLimit(text));
        limits.tokensInProgress = n;
    } else if (key == "requests-per-second") {
        BOOST_OUTCOME_TRY(n, parseNumericLimit(text));
        limits.requestsPerSecond = n;
    } else if (key == "tokens-per-second") {
        BOOST_OUTCOME_TRY(n, parseNumericLimit(text));
        limits.tokensPerSecond = n;
    } else if (key == "weight") {
        BOOST_OUTCOME_TRY(n, parseNumericLimit(text));
        customer->weight = n;
    } else {
        return Error {ErrorCode::Invalid,
                      "\"" + key + "\" is not one of: requests-in-progress, tokens-in-progress, "
                          + "requests-per-second, tokens-per-second, weight"};
    }
    return boost::outcome_v2::success();
}

Result<void> editKeys(Configuration &configuration, const Edit &edit)
{
    auto *customer = findByKey(configuration.customers, CustomerName(edit.subject));
    if (customer == nullptr) {
        return notDeclared("customer", edit.subject);
    }
    auto &hashes = customer->keyHashes;
    hashes.erase(std::remove(hashes.begin(), hashes.end(), edit.value), hashes.end());
    if (edit.kind == EditKind::AddKey) {
        hashes.push_back(edit.value);
    }
    return boost::outcome_v2::success();
}

Result<void> applyChange(Configuration &configuration, const Edit &edit)
{
    BOOST_OUTCOME_TRY(bytes, fromHex(edit.value));
    BOOST_OUTCOME_TRY(delta, decodeDelta(bytes));
    const auto revision = configuration.revision;
    configuration = applied(configuration, delta.change);
    configuration.revision = revision;
    return boost::outcome_v2::success();
}

} // namespace

Result<void> applyEdit(Configuration &configuration, const Edit &edit)
{
    switch (edit.kind) {
    case EditKind::Apply:
        return applyChange(configuration, edit);
    case EditKind::SetHostState:
        return setHostState(configuration, edit);
    case EditKind::SetTargetState:
        return setTargetState(configuration, edit);
    case EditKind::RemoveHost:
        return removeHost(configuration, edit);
    case EditKind::SetTargetService:
        return setTargetService(configuration, edit);
    case EditKind::SetServiceVersion:
        return setServiceVersion(configuration, edit);
    case EditKind::SetLimit:
        return setLimit(configuration, edit);
    case EditKind::AddKey:
    case EditKind::RemoveKey:
        return editKeys(configuration, edit);
    }
    return Error {ErrorCode::Invalid, "unknown kind of edit"};
}

Result<ConfigurationChange> changeOf(const Configuration &base, const std::vector<Edit> &edits)
{
    auto next = base;
    for (const auto &it : edits) {
        BOOST_OUTCOME_TRY(applyEdit(next, it));
    }
    const auto faults = validate(next);
    if (!faults.empty()) {
        const auto &first = faults.front();
        return Error {ErrorCode::Invalid, first.kind + " \"" + first.name + "\": " + first.message};
    }
    return difference(base, next);
}

Edit editOf(const ConfigurationChange &change)
{
    return {EditKind::Apply, "", toHex(encodeDelta({change, 0}))};
}

std::string toHex(const std::string &bytes)
{
    return boost::algorithm::hex(bytes);
}

Result<std::string> fromHex(const std::string &text)
{
    try {
        return boost::algorithm::unhex(text);
    } catch (const std::exception &) {
        return Error {ErrorCode::Invalid, "malformed hexadecimal text"};
    }
}

} // namespace monsoonward
