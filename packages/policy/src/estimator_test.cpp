#include "estimator.h"

#include <doctest/doctest.h>

using namespace monsoonward;

TEST_CASE("output lengths are learned for each tier and customer")
{
    OutputEstimator outputs;
    const CustomerName shortOnes("short");
    const CustomerName longOnes("long");
    SeededRandom random(1);
    for (int n = 0; n < 2000; ++n) {
        outputs.learn(Tier(0), shortOnes, static_cast<std::uint32_t>(10 + random.nextBelow(20)));
        outputs.learn(Tier(0), longOnes, static_cast<std::uint32_t>(500 + random.nextBelow(1000)));
    }
    CHECK(outputs.typical(Tier(0), shortOnes) == doctest::Approx(20).epsilon(0.15));
    CHECK(outputs.typical(Tier(0), longOnes) == doctest::Approx(1000).epsilon(0.15));
    CHECK(outputs.high(Tier(0), longOnes) > outputs.typical(Tier(0), longOnes));
}

TEST_CASE("a customer seen seldom is judged by its tier")
{
    OutputEstimator outputs;
    for (int n = 0; n < 100; ++n) {
        outputs.learn(Tier(0), CustomerName("a"), 10);
    }
    outputs.learn(Tier(0), CustomerName("b"), 1000);
    CHECK(outputs.typical(Tier(0), CustomerName("b")) < 20);
}
