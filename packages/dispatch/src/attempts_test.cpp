#include "monsoonward/dispatch/dispatch.h"

#include <doctest/doctest.h>

using namespace monsoonward;

namespace
{

AttemptState stateOf(AttemptOutcome outcome, Repeatability repeatability)
{
    AttemptState state;
    state.outcome = outcome;
    state.repeatability = repeatability;
    state.maxAttempts = 2;
    return state;
}

} // namespace

TEST_CASE("a request that may be executed only once is sent again only if it was not executed")
{
    CHECK(nextStep(stateOf(AttemptOutcome::NotSent, Repeatability::Once)) == NextStep::TryAnother);
    CHECK(nextStep(stateOf(AttemptOutcome::Rejected, Repeatability::Once)) == NextStep::TryAnother);
    CHECK(nextStep(stateOf(AttemptOutcome::Broken, Repeatability::Once)) == NextStep::Fail);
    CHECK(nextStep(stateOf(AttemptOutcome::Failed, Repeatability::Once)) == NextStep::ForwardFailure);
}

TEST_CASE("a request is refused only if no engine may have executed it")
{
    for (const auto outcome :
         {AttemptOutcome::NotSent, AttemptOutcome::Rejected, AttemptOutcome::Failed, AttemptOutcome::Broken}) {
        for (const auto repeatability : {Repeatability::Once, Repeatability::Repeatable, Repeatability::Resumable}) {
            for (const bool ranBefore : {false, true}) {
                auto state = stateOf(outcome, repeatability);
                state.mayHaveRun = ranBefore;
                const bool mayHaveRun =
                    ranBefore || outcome == AttemptOutcome::Failed || outcome == AttemptOutcome::Broken;
                CHECK((stepWithoutRetry(state) == NextStep::Refuse) == !mayHaveRun);
            }
        }
    }
}

TEST_CASE("after part of the answer was sent, a resumable request goes to another engine, others are aborted")
{
    auto state = stateOf(AttemptOutcome::Broken, Repeatability::Resumable);
    state.responseStarted = true;
    CHECK(nextStep(state) == NextStep::TryAnother);
    state.attempts = 2;
    CHECK(nextStep(state) == NextStep::Abort);
    state.attempts = 1;
    state.hasTime = false;
    CHECK(nextStep(state) == NextStep::Abort);
    state.hasTime = true;
    state.repeatability = Repeatability::Repeatable;
    CHECK(nextStep(state) == NextStep::Abort);
}

TEST_CASE("the route limits the attempts, not counting those that sent nothing")
{
    auto state = stateOf(AttemptOutcome::Rejected, Repeatability::Repeatable);
    state.attempts = 2;
    CHECK(nextStep(state) == NextStep::Refuse);
    state.outcome = AttemptOutcome::NotSent;
    CHECK(nextStep(state) == NextStep::TryAnother);
    state.outcome = AttemptOutcome::Complete;
    CHECK(nextStep(state) == NextStep::Finish);
}
