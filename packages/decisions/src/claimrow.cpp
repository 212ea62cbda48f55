#include "claimrow.h"

#include <sstream>

namespace monsoonward
{

const char *const idempotencyRowPrefix = "claim/";

namespace
{

const char *stateName(IdempotencyRowState state)
{
    switch (state) {
    case IdempotencyRowState::Held:
        return "held";
    case IdempotencyRowState::Released:
        return "released";
    case IdempotencyRowState::Completed:
        return "completed";
    }
    return "";
}

std::optional<IdempotencyRowState> parseState(const std::string &stateText)
{
    for (const auto it : {IdempotencyRowState::Held, IdempotencyRowState::Released, IdempotencyRowState::Completed}) {
        if (stateText == stateName(it)) {
            return it;
        }
    }
    return std::nullopt;
}

} // namespace

std::string idempotencyRowKey(const CustomerName &customer, const std::string &idempotencyKey)
{
    const auto &name = customer.text();
    return idempotencyRowPrefix + std::string("key/") + std::to_string(name.size()) + ":" + name + "/" + idempotencyKey;
}

std::string isolatedRunRowKey(Fingerprint fingerprint)
{
    return idempotencyRowPrefix + std::string("trial/") + std::to_string(fingerprint);
}

std::string encode(const IdempotencyRow &row)
{
    std::ostringstream out;
    out << stateName(row.state) << ' ' << textOf(row.holder) << ' ' << row.epoch << ' ' << row.host.text();
    return out.str();
}

std::optional<IdempotencyRow> decodeIdempotencyRow(const std::string &text)
{
    std::istringstream in(text);
    std::string stateText;
    std::string holder;
    std::string host;
    IdempotencyRow row;
    if (!(in >> stateText >> holder >> row.epoch >> host)) {
        return std::nullopt;
    }
    const auto state = parseState(stateText);
    const auto id = parseRequestId(holder);
    if (!state || !id) {
        return std::nullopt;
    }
    row.state = *state;
    row.holder = *id;
    row.host = HostName {host};
    return row;
}

} // namespace monsoonward
