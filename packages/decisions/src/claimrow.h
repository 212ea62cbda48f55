#pragma once

#include <monsoonward/values/values.h>

#include <optional>
#include <string>

namespace monsoonward
{

enum class IdempotencyRowState {
    Held, ///< its request may be handed over, or was
    Released, ///< its request surely did not run; anyone may take the row over
    Completed, ///< its request's answer was delivered whole
};

/// @brief An idempotency row of the table service.
struct IdempotencyRow
{
    RequestId holder;
    HostName host; ///< of the holder's entry
    IdempotencyRowState state = IdempotencyRowState::Held;
    std::uint64_t epoch = 0; ///< when it was taken; see ClaimExpiry
    MONSOONWARD_FIELDS(holder, host, state, epoch)
};

/// @return the row's key; customers can't reach each other's rows whatever bytes their keys have
std::string idempotencyRowKey(const CustomerName &customer, const std::string &idempotencyKey);
/// @return the key of the row that allows the one isolated run of a suspected request
std::string isolatedRunRowKey(Fingerprint fingerprint);
/// Every row of both kinds has this prefix.
extern const char *const idempotencyRowPrefix;

std::string encode(const IdempotencyRow &row);
/// @return the row that encode() wrote as @p text, or nothing when it is malformed
std::optional<IdempotencyRow> decodeIdempotencyRow(const std::string &text);

} // namespace monsoonward
