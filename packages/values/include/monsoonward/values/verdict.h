#pragma once

#include "monsoonward/values/tied.h"
#include "monsoonward/values/time.h"

#include <optional>
#include <string>

namespace monsoonward
{

/// @brief Whether a request may have run on an engine.
enum class Verdict {
    NotRun, ///< It did not run and never will.
    MayHaveRun, ///< It was handed over and its end is not known.
    Completed, ///< It ran and its whole answer is at hand.
};

/// @brief Why a request got no answer.
enum class RefusalReason {
    Shed, ///< Its tier is closed, or it had to leave for a higher tier.
    DeadlineUnreachable, ///< Load makes the deadline unreachable; counts as a shed.
    DeadlineImpossible, ///< Not even an idle engine could meet the deadline.
    Expired, ///< The deadline passed while it waited.
    CustomerLimit, ///< The customer's own limit is used up.
    SuspectedCrash, ///< The request has crashed targets before.
    DuplicateKey, ///< Another request with the same idempotency key holds the claim.
    StoreUnavailable, ///< A non-idempotent request needs the table service, which doesn't answer.
    NoTarget, ///< The service has no target in service.
    Stopping, ///< The entry is shutting down.
    CallerGone, ///< The caller disconnected.
    TargetLost, ///< The connection to the target daemon was lost.
    EngineFailed, ///< The engine broke off or answered malformed data.
    Internal, ///< An invariant was violated; the request was given up.
};

/// @brief A final answer without a result.
struct Refusal
{
    RefusalReason reason = RefusalReason::Internal;
    Verdict verdict = Verdict::MayHaveRun;
    std::optional<Duration> retryAfter; ///< when to come back, if that helps
    std::string detail; ///< names the value and the place
    MONSOONWARD_FIELDS(reason, verdict, retryAfter, detail)
};

/// @return "not-run", "may-have-run" or "completed", as in the verdict header
std::string textOf(Verdict verdict);
/// @return a stable word for logs, metrics and the JSON body, such as "deadline-unreachable"
std::string textOf(RefusalReason reason);
/// @return whether load is the cause, so that lower tiers must have closed first
bool isShed(RefusalReason reason);

} // namespace monsoonward
