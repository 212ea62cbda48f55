#include "monsoonward/decisions/decisions.h"

#include <doctest/doctest.h>

using namespace monsoonward;

namespace
{
const RequestId ownId {{1, 2}, 3};
const RequestId otherId {{1, 2}, 4};
const ClaimId ownClaim {{5, 6}, 7};
} // namespace

TEST_CASE("an answer is completed when all its bytes arrived in order")
{
    AnswerValidator answerValidator(ownId, ownClaim);
    CHECK(answerValidator.begin({ownId, ownClaim, 200, {}}));
    CHECK(answerValidator.chunk({ownId, ownClaim, 0, "ab"}));
    CHECK(answerValidator.chunk({ownId, ownClaim, 2, "c"}));
    CHECK(answerValidator.end({ownId, ownClaim, 3, Verdict::Completed, "", 0, 0, 0}).value() == Verdict::Completed);
}

TEST_CASE("a truncated answer is never completed")
{
    AnswerValidator answerValidator(ownId, ownClaim);
    CHECK(answerValidator.begin({ownId, ownClaim, 200, {}}));
    CHECK(answerValidator.chunk({ownId, ownClaim, 0, "ab"}));
    CHECK(answerValidator.end({ownId, ownClaim, 3, Verdict::Completed, "", 0, 0, 0}).value() == Verdict::MayHaveRun);
}

TEST_CASE("parts of another request's answer and parts after a gap are errors")
{
    AnswerValidator answerValidator(ownId, ownClaim);
    CHECK_FALSE(answerValidator.begin({otherId, ownClaim, 200, {}}));
    CHECK(answerValidator.begin({ownId, ownClaim, 200, {}}));
    CHECK_FALSE(answerValidator.chunk({otherId, ownClaim, 0, "x"}));
    CHECK_FALSE(answerValidator.chunk({ownId, ownClaim, 1, "x"}));
}
