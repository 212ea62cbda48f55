#include "monsoonward/dispatch/dispatch.h"

#include <doctest/doctest.h>

using namespace monsoonward;

namespace
{

AttemptState stateOf(AttemptEnd end, Repeatability repeatability)
{
    AttemptState state;
    state.end = end;
    state.repeatability = repeatability;
    state.maxAttempts = 2;
    return state;
}

} // namespace

TEST_CASE("a request that may run once is sent again only when it has not run")
{
    CHECK(nextStep(stateOf(AttemptEnd::NotSent, Repeatability::Once)) == NextStep::TryAnother);
    CHECK(nextStep(stateOf(AttemptEnd::Rejected, Repeatability::Once)) == NextStep::TryAnother);
    CHECK(nextStep(stateOf(AttemptEnd::Broken, Repeatability::Once)) == NextStep::Fail);
    CHECK(nextStep(stateOf(AttemptEnd::Failed, Repeatability::Once)) == NextStep::PassOn);
}

TEST_CASE("a refusal is given only when no engine may have run the request")
{
    for (const auto end : {AttemptEnd::NotSent, AttemptEnd::Rejected, AttemptEnd::Failed, AttemptEnd::Broken}) {
        for (const auto repeatability : {Repeatability::Once, Repeatability::Repeatable, Repeatability::Resumable}) {
            for (const bool ranBefore : {false, true}) {
                auto state = stateOf(end, repeatability);
                state.mayHaveRun = ranBefore;
                const bool mayHaveRun = ranBefore || end == AttemptEnd::Failed || end == AttemptEnd::Broken;
                CHECK((lastStep(state) == NextStep::Refuse) == !mayHaveRun);
            }
        }
    }
}

TEST_CASE("an answer that has begun is continued by resuming, or broken off")
{
    auto state = stateOf(AttemptEnd::Broken, Repeatability::Resumable);
    state.answerBegan = true;
    CHECK(nextStep(state) == NextStep::TryAnother);
    state.attempts = 2;
    CHECK(nextStep(state) == NextStep::BreakOff);
    state.attempts = 1;
    state.hasTime = false;
    CHECK(nextStep(state) == NextStep::BreakOff);
    state.hasTime = true;
    state.repeatability = Repeatability::Repeatable;
    CHECK(nextStep(state) == NextStep::BreakOff);
}

TEST_CASE("attempts are bounded by the route, and sends that never left don't count")
{
    auto state = stateOf(AttemptEnd::Rejected, Repeatability::Repeatable);
    state.attempts = 2;
    CHECK(nextStep(state) == NextStep::Refuse);
    state.end = AttemptEnd::NotSent;
    CHECK(nextStep(state) == NextStep::TryAnother);
    state.end = AttemptEnd::Whole;
    CHECK(nextStep(state) == NextStep::Finish);
}
