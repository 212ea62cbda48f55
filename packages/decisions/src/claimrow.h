#pragma once

#include <monsoonward/values/values.h>

#include <optional>
#include <string>

namespace monsoonward
{

enum class IdempotencyRowState {
    Held, ///< the request that holds the row may be handed over, or already was
    Released, ///< the holding request is known not to have run; another one may take over the row
    Completed, ///< the complete answer to the holding request was delivered
};

/// @brief A table row that lets only one request run: one with a given idempotency key, or an isolated run of a
/// suspect.
struct IdempotencyRow
{
    RequestId holder;
    HostName host; ///< host of the holder's entry
    IdempotencyRowState state = IdempotencyRowState::Held;
    std::uint64_t epoch = 0; ///< epoch in which it was written; see IdempotencyRowExpiry
    MONSOONWARD_FIELDS(holder, host, state, epoch)
};

/// @return the row's key; keys of different customers never collide, whatever bytes they contain
std::string idempotencyRowKey(const CustomerName &customer, const std::string &idempotencyKey);
/// @return the key of the row that allows one isolated run of a suspected request
std::string isolatedRunRowKey(Fingerprint fingerprint);
/// Prefix of the keys of both kinds of rows.
extern const char *const idempotencyRowPrefix;

std::string encode(const IdempotencyRow &row);
/// Parses the output of encode(). @return nothing if @p text is malformed
std::optional<IdempotencyRow> decodeIdempotencyRow(const std::string &text);

} // namespace monsoonward
