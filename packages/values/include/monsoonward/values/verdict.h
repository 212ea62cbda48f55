#pragma once

#include "monsoonward/values/tied.h"
#include "monsoonward/values/time.h"

#include <optional>
#include <string>

namespace monsoonward
{

/// @brief Whether a request was executed by an engine, as far as is known.
enum class Verdict {
    NotRun, ///< It was not executed and never will be.
    MayHaveRun, ///< It was handed over and the outcome is unknown.
    Completed, ///< It was executed and the complete answer was received.
};

/// @brief Why a request failed.
enum class RefusalReason {
    Shed, ///< Dropped under overload: its tier is closed, or it was evicted in favour of a higher tier.
    DeadlineUnreachable, ///< The deadline can't be met under the current load; counts as shed.
    DeadlineImpossible, ///< Not even an idle engine could meet the deadline.
    Expired, ///< The deadline passed while the request was queued.
    CustomerLimit, ///< The customer has reached one of its limits.
    SuspectedCrash, ///< The request was in progress during earlier crashes and may have caused them.
    DuplicateKey, ///< Another request holds the row of the same idempotency key.
    StoreUnavailable, ///< A non-idempotent request needs the table service, which is unavailable.
    NoTarget, ///< No target of the service accepts new requests.
    Stopping, ///< The entry is shutting down.
    CallerGone, ///< The caller disconnected.
    TargetLost, ///< The connection to the target daemon was lost.
    EngineFailed, ///< The engine aborted its response or sent malformed data.
    Internal, ///< An invariant was violated while processing the request.
};

/// @brief The final outcome of a request that failed.
struct Refusal
{
    RefusalReason reason = RefusalReason::Internal;
    Verdict verdict = Verdict::MayHaveRun;
    std::optional<Duration> retryAfter; ///< how long the caller should wait before a retry, if one may succeed
    std::string detail; ///< names the value or component at fault
    MONSOONWARD_FIELDS(reason, verdict, retryAfter, detail)
};

/// @return "not-run", "may-have-run" or "completed", as sent in the Monsoonward-Verdict header
std::string textOf(Verdict verdict);
/// @return a stable word for logs, metrics and the JSON body, such as "deadline-unreachable"
std::string textOf(RefusalReason reason);
/// @return whether overload is the cause. Invariant: a request is shed only after all lower tiers were closed.
bool isShed(RefusalReason reason);

} // namespace monsoonward
