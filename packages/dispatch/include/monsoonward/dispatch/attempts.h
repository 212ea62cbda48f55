#pragma once

#include "monsoonward/dispatch/servingconfiguration.h"

namespace monsoonward
{

/// @brief How one attempt to send a request to an engine ended.
enum class AttemptOutcome {
    Complete, ///< a complete answer that may be forwarded
    NotSent, ///< no byte of the request was sent
    Rejected, ///< the engine answered that it did not execute the request
    Failed, ///< a complete answer that reports a failure of the engine; it may have executed the request
    Broken, ///< no answer, or an invalid or incomplete one; the engine may have executed the request
};

/// @brief The state of a request after an attempt.
struct AttemptState
{
    AttemptOutcome outcome = AttemptOutcome::Broken;
    Repeatability repeatability = Repeatability::Once;
    bool responseStarted = false; ///< part of the answer was sent to the caller
    bool mayHaveRun = false; ///< an engine of an earlier attempt may have executed the request
    std::uint32_t attempts = 1; ///< attempts so far, this one included
    std::uint32_t maxAttempts = 1;
    bool hasTime = true; ///< enough time is left before the deadline
    MONSOONWARD_FIELDS(outcome, repeatability, responseStarted, mayHaveRun, attempts, maxAttempts, hasTime)
};

/// @brief What to do with a request after an attempt.
enum class NextStep {
    Finish, ///< the answer is complete
    TryAnother, ///< send the request to another engine; takes one retry from the budget unless nothing was sent
    ForwardFailure, ///< send the engine's failure answer to the caller
    Refuse, ///< tell the caller that the request was not executed
    Fail, ///< tell the caller that the request may have been executed
    Abort, ///< close the caller's connection in the middle of the answer
};

/// @return the next step, assuming that the retry budget is not spent
NextStep nextStep(const AttemptState &state);
/// @return the next step when no other engine can be tried, because none is left or the retry budget is spent
NextStep stepWithoutRetry(const AttemptState &state);

} // namespace monsoonward
