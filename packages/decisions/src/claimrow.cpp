#include "claimrow.h"

#include <sstream>

namespace monsoonward
{

const char *const claimRowPrefix = "claim/";

namespace
{

const char *wordOf(ClaimRowState state)
{
    switch (state) {
    case ClaimRowState::Held:
        return "held";
    case ClaimRowState::Released:
        return "released";
    case ClaimRowState::Completed:
        return "completed";
    }
    return "";
}

std::optional<ClaimRowState> stateFrom(const std::string &word)
{
    for (const auto it : {ClaimRowState::Held, ClaimRowState::Released, ClaimRowState::Completed}) {
        if (word == wordOf(it)) {
            return it;
        }
    }
    return std::nullopt;
}

} // namespace

std::string claimRowKey(const CustomerName &customer, const std::string &idempotencyKey)
{
    const auto &name = customer.text();
    return claimRowPrefix + std::string("key/") + std::to_string(name.size()) + ":" + name + "/" + idempotencyKey;
}

std::string trialRowKey(Fingerprint fingerprint)
{
    return claimRowPrefix + std::string("trial/") + std::to_string(fingerprint);
}

std::string encode(const ClaimRow &row)
{
    std::ostringstream out;
    out << wordOf(row.state) << ' ' << textOf(row.holder) << ' ' << row.epoch << ' ' << row.host.text();
    return out.str();
}

std::optional<ClaimRow> decodeClaimRow(const std::string &text)
{
    std::istringstream in(text);
    std::string word;
    std::string holder;
    std::string host;
    ClaimRow row;
    if (!(in >> word >> holder >> row.epoch >> host)) {
        return std::nullopt;
    }
    const auto state = stateFrom(word);
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
