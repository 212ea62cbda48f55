#include "monsoonward/dispatch/attempts.h"

namespace monsoonward
{

NextStep nextStep(const AttemptState &state)
{
    if (state.end == AttemptEnd::Whole) {
        return NextStep::Finish;
    }
    const bool isOnce = state.repeatability == Repeatability::Once;
    const bool ranHere = state.end == AttemptEnd::Failed || state.end == AttemptEnd::Broken;
    const bool mayRepeat =
        !ranHere || (!isOnce && (!state.answerBegan || state.repeatability == Repeatability::Resumable));
    const bool sendsLeft = state.end == AttemptEnd::NotSent || state.attempts < state.maxAttempts;
    if (mayRepeat && sendsLeft && state.hasTime) {
        return NextStep::TryAnother;
    }
    return lastStep(state);
}

NextStep lastStep(const AttemptState &state)
{
    if (state.answerBegan) {
        return NextStep::BreakOff;
    }
    switch (state.end) {
    case AttemptEnd::Whole:
        return NextStep::Finish;
    case AttemptEnd::Failed:
        return NextStep::PassOn;
    case AttemptEnd::NotSent:
    case AttemptEnd::Rejected:
        return state.mayHaveRun ? NextStep::Fail : NextStep::Refuse;
    case AttemptEnd::Broken:
        break;
    }
    return NextStep::Fail;
}

} // namespace monsoonward
