#include "monsoonward/dispatch/attempts.h"

namespace monsoonward
{

NextStep nextStep(const AttemptState &state)
{
    if (state.outcome == AttemptOutcome::Complete) {
        return NextStep::Finish;
    }
    const bool isOnce = state.repeatability == Repeatability::Once;
    const bool mayHaveRunHere = state.outcome == AttemptOutcome::Failed || state.outcome == AttemptOutcome::Broken;
    const bool mayRunAgain =
        !mayHaveRunHere || (!isOnce && (!state.responseStarted || state.repeatability == Repeatability::Resumable));
    const bool hasAttemptsLeft = state.outcome == AttemptOutcome::NotSent || state.attempts < state.maxAttempts;
    if (mayRunAgain && hasAttemptsLeft && state.hasTime) {
        return NextStep::TryAnother;
    }
    return stepWithoutRetry(state);
}

NextStep stepWithoutRetry(const AttemptState &state)
{
    if (state.responseStarted) {
        return NextStep::Abort;
    }
    switch (state.outcome) {
    case AttemptOutcome::Complete:
        return NextStep::Finish;
    case AttemptOutcome::Failed:
        return NextStep::ForwardFailure;
    case AttemptOutcome::NotSent:
    case AttemptOutcome::Rejected:
        return state.mayHaveRun ? NextStep::Fail : NextStep::Refuse;
    case AttemptOutcome::Broken:
        break;
    }
    return NextStep::Fail;
}

} // namespace monsoonward
