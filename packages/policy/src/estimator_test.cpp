#include "estimator.h"

#include <doctest/doctest.h>

using namespace monsoonward;

TEST_CASE("output lengths are estimated per customer")
{
    OutputLengthEstimator outputs;
    const CustomerName shortAnswers("short");
    const CustomerName longAnswers("long");
    SeededRandom random(1);
    for (int n = 0; n < 2000; ++n) {
        outputs.recordOutput(Tier(0), shortAnswers, static_cast<std::uint32_t>(10 + random.nextBelow(20)));
        outputs.recordOutput(Tier(0), longAnswers, static_cast<std::uint32_t>(500 + random.nextBelow(1000)));
    }
    CHECK(outputs.median(Tier(0), shortAnswers) == doctest::Approx(20).epsilon(0.15));
    CHECK(outputs.median(Tier(0), longAnswers) == doctest::Approx(1000).epsilon(0.15));
    CHECK(outputs.percentile95(Tier(0), longAnswers) > outputs.median(Tier(0), longAnswers));
}

TEST_CASE("a customer with few requests uses the estimate of its tier")
{
    OutputLengthEstimator outputs;
    for (int n = 0; n < 100; ++n) {
        outputs.recordOutput(Tier(0), CustomerName("a"), 10);
    }
    outputs.recordOutput(Tier(0), CustomerName("b"), 1000);
    CHECK(outputs.median(Tier(0), CustomerName("b")) < 20);
}
