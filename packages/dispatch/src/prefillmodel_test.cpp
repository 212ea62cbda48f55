#include "monsoonward/dispatch/dispatch.h"

#include <doctest/doctest.h>

using namespace monsoonward;
using namespace std::chrono_literals;

namespace
{

const ServiceName service("s");

} // namespace

TEST_CASE("the time to read a token is the slope over prompts of different length")
{
    PrefillModel model;
    for (unsigned n = 0; n < 500; ++n) {
        const auto tokens = n * 37 % 4000;
        const auto queued = n % 3 * 20ms; // doesn't depend on the length
        model.learn(service, tokens, 16ms + queued + tokens * 20us);
    }
    const auto ms = std::chrono::duration<double, std::milli>(model.timeToRead(service, 1000)).count();
    CHECK(ms == doctest::Approx(20).epsilon(0.1));
}

TEST_CASE("nothing is saved before the slope is known, or if all prompts have one length")
{
    PrefillModel model;
    CHECK(model.timeToRead(service, 1000) == 0ms);
    for (unsigned n = 0; n < 500; ++n) {
        model.learn(service, 1000, 30ms);
    }
    CHECK(model.timeToRead(service, 1000) == 0ms);
}
