#include "monsoonward/dispatch/dispatch.h"

#include <doctest/doctest.h>

using namespace monsoonward;

TEST_CASE("a hash depends on the text and on the seed")
{
    CHECK(hashOf("a") == hashOf("a", 0));
    CHECK(hashOf("a") != hashOf("b"));
    CHECK(hashOf("a") != hashOf("a", 1));
}

TEST_CASE("numbers from hashes are at least 0, below 1, and spread evenly")
{
    double sum = 0;
    for (unsigned n = 0; n < 10000; ++n) {
        const double it = uniformOf(hashOf(std::to_string(n)));
        CHECK(it >= 0);
        CHECK(it < 1);
        sum += it;
    }
    CHECK(sum / 10000 == doctest::Approx(0.5).epsilon(0.02));
}
