#include "monsoonward/dispatch/dispatch.h"

#include <doctest/doctest.h>

using namespace monsoonward;
using namespace std::chrono_literals;

namespace
{

const ServiceName service("model");
const EngineName fast("fast");
const EngineName slow("slow");

const TimePoint start {1h};

double expectedMs(const FirstBytesModel &model, const EngineName &engine, double load, TimePoint now = start)
{
    return std::chrono::duration<double, std::milli>(model.expected(service, engine, load, now)).count();
}

} // namespace

TEST_CASE("engines of unequal speed: the time to the first bytes grows with load and slowness")
{
    FirstBytesModel model;
    for (unsigned n = 0; n < 400; ++n) {
        const double load = (n % 8) / 4.0;
        const auto length = 50ms + (load > 1 ? std::chrono::milliseconds(static_cast<int>(200 * (load - 1))) : 0ms);
        model.learn(service, fast, load, length * 6 / 10, start);
        model.learn(service, slow, load, length * 17 / 10, start);
    }
    CHECK(model.slowness(slow) / model.slowness(fast) == doctest::Approx(1.7 / 0.6).epsilon(0.25));
    CHECK(expectedMs(model, fast, 0.5) == doctest::Approx(30).epsilon(0.3));
    CHECK(expectedMs(model, slow, 1.75) == doctest::Approx(340).epsilon(0.3));
    CHECK(expectedMs(model, slow, 4) > 2 * expectedMs(model, slow, 1.75) * 0.9); // extrapolated
    for (double load = 0; load < 5; load += 0.1) {
        CHECK(expectedMs(model, slow, load + 0.1) >= expectedMs(model, slow, load));
    }
}

TEST_CASE("without samples the prediction is low, and one stalled answer doesn't exclude an engine")
{
    FirstBytesModel model;
    CHECK(expectedMs(model, fast, 0) == doctest::Approx(50));
    model.learn(service, fast, 0, 30ms, start);
    CHECK(expectedMs(model, fast, 0.5) < 100);
    model.learn(service, fast, 0, 60s, start);
    CHECK(model.slowness(fast) < 2);
}

TEST_CASE("after a burst the times learned under load decay, and the first new sample has most of the weight")
{
    FirstBytesModel model;
    for (unsigned n = 0; n < 50; ++n) {
        model.learn(service, fast, 0.3, 50ms, start);
        model.learn(service, fast, 0.8, 500ms, start);
    }
    const auto learned = expectedMs(model, fast, 0.8);
    CHECK(learned > 300);
    CHECK(expectedMs(model, fast, 0.8, start + 10s) < 100);
    CHECK(expectedMs(model, fast, 0.3, start + 10s) == doctest::Approx(expectedMs(model, fast, 0.3)));
    model.learn(service, fast, 0.8, 500ms, start + 10s);
    CHECK(expectedMs(model, fast, 0.8, start + 10s) > learned / 2);
}
