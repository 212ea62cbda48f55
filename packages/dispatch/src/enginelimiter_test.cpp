#include "monsoonward/dispatch/dispatch.h"

#include <doctest/doctest.h>

using namespace monsoonward;
using namespace std::chrono_literals;

namespace
{

struct Fixture
{
    /// Sends as many requests as the limiter allows.
    unsigned sendAll(double urgentShare = 0)
    {
        unsigned n = 0;
        while (n < 1000 && limiter.maySend(engine, urgentShare, clock.now())) {
            limiter.requestSent(engine, clock.now());
            ++n;
        }
        return n;
    }

    VirtualClock clock;
    FleetView fleet {HostName("own")};
    EngineLimits limits;
    LimitDivision division {Topology(), HostName("own"), fleet};
    EngineLimiter limiter {limits, division};
    EngineRecord engine {EngineName("e"), ServiceName("s"), {"10.0.0.1", 80}, DataCentreName("dc"), 5, false, 1};
};

} // namespace

TEST_CASE_FIXTURE(Fixture, "an engine without a limit gets any number of requests")
{
    CHECK(sendAll() == 1000);
    CHECK_FALSE(limiter.allowanceOf(engine, clock.now()));
}

TEST_CASE_FIXTURE(Fixture, "a limited engine gets the rate that it states, and little more after a pause")
{
    limits.record(runOf(engine), 5.0, clock.now());
    CHECK(sendAll() == 0); // what it got before the statement is unknown
    unsigned sent = 0;
    for (int n = 0; n < 100; ++n) {
        clock.advance(100ms);
        sent += sendAll();
    }
    CHECK(sent == doctest::Approx(50).epsilon(0.02));
    clock.advance(1min);
    CHECK(sendAll() == 2);
    const auto allowance = limiter.allowanceOf(engine, clock.now());
    REQUIRE(allowance);
    CHECK(allowance->perSecond == 5);
    CHECK(allowance->share == doctest::Approx(5));
    CHECK(allowance->available == doctest::Approx(0));
}

TEST_CASE_FIXTURE(Fixture, "a request that reached no engine doesn't count")
{
    limits.record(runOf(engine), 1.0, clock.now());
    CHECK(sendAll() == 0);
    clock.advance(1s);
    CHECK(sendAll() == 1);
    limiter.requestNotSent(engine);
    CHECK(sendAll() == 1);
}

TEST_CASE_FIXTURE(Fixture, "less urgent requests leave a part of the share to others")
{
    limits.record(runOf(engine), 10.0, clock.now());
    sendAll();
    clock.advance(120ms);
    CHECK(sendAll(1) == 0);
    CHECK(sendAll(0) == 1);
    clock.advance(1s);
    CHECK(sendAll(1) == 1);
}

TEST_CASE_FIXTURE(Fixture, "a raised or lifted limit and a new run of the engine are followed")
{
    limits.record(runOf(engine), 1.0, clock.now());
    sendAll();
    limits.record(runOf(engine), 20.0, clock.now());
    CHECK(sendAll() == 0);
    clock.advance(100ms);
    CHECK(sendAll() == 2);
    limits.record(runOf(engine), std::nullopt, clock.now());
    CHECK(sendAll() == 1000);
    limiter.expire();
    limits.record(runOf(engine), 1.0, clock.now());
    CHECK(sendAll() == 0);
    engine.incarnation = 2;
    CHECK(sendAll() == 1000);
}

TEST_CASE_FIXTURE(Fixture, "the limits of engines are added up")
{
    auto other = engine;
    other.name = EngineName("f");
    limits.record(runOf(engine), 1.5, clock.now());
    CHECK(limiter.totalLimit({&engine, &other}) == 1.5);
    limits.record(runOf(other), 2.0, clock.now());
    CHECK(limiter.totalLimit({&engine, &other}) == 3.5);
}
