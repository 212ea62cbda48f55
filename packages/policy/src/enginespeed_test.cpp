#include "enginespeed.h"

#include <doctest/doctest.h>

using namespace monsoonward;

TEST_CASE("the speed follows the measurements")
{
    EngineSpeed speed;
    CHECK_FALSE(speed.isCalibrated());
    for (int n = 0; n < 200; ++n) {
        const double decoding = 1 + n % 10;
        speed.recordDecodeStep(decoding, 0.010 * (1 + 0.05 * (decoding - 1)));
        speed.recordPrefill(1000, std::chrono::milliseconds(100));
    }
    CHECK(speed.isCalibrated());
    CHECK(speed.prefillTokensPerSecond() == doctest::Approx(10000));
    CHECK(speed.decodeStepSeconds(1) == doctest::Approx(0.010).epsilon(0.05));
    CHECK(speed.decodeStepSeconds(20) == doctest::Approx(0.0195).epsilon(0.05));
}

TEST_CASE("a slowdown and the recovery from it both show within 100 measurements")
{
    EngineSpeed speed;
    for (int n = 0; n < 200; ++n) {
        speed.recordDecodeStep(4, 0.010);
    }
    for (int n = 0; n < 100; ++n) {
        speed.recordDecodeStep(4, 0.060);
    }
    CHECK(speed.decodeStepSeconds(4) > 0.055);
    for (int n = 0; n < 100; ++n) {
        speed.recordDecodeStep(4, 0.010);
    }
    CHECK(speed.decodeStepSeconds(4) < 0.015);
}
