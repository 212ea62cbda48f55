#include "monsoonward/dispatch/dispatch.h"

#include <doctest/doctest.h>

using namespace monsoonward;
using namespace std::chrono_literals;

namespace
{

struct Fixture
{
    EngineDirectory directory;
    FleetView fleet {HostName("g0")};
    Rollouts rollouts {{0.1, 50, 5s}, HostName("g0"), directory, fleet};
    VirtualClock clock;
    ServiceName service {"s"};

    EngineRecord add(const std::string &name, const std::string &version)
    {
        EngineRecord engine;
        engine.name = EngineName(name);
        engine.service = service;
        engine.softwareVersion = version;
        rollouts.engineSeen(engine, clock.now());
        directory.put(engine);
        return engine;
    }
    void ordersRead()
    {
        clock.advance(1ms);
        rollouts.ordersRead(clock.now());
    }
    RolloutChoice choose(double hash = 0.5)
    {
        return rollouts.choose(service, true, true, hash, clock.now());
    }
};

} // namespace

TEST_CASE_FIXTURE(Fixture, "a version that appears gets nothing until the orders given before were read")
{
    add("old", "v1");
    ordersRead();
    CHECK(choose().excludedBuilds.empty());
    const auto engine = add("new", "v2");
    CHECK(choose().excludedBuilds == std::vector<EngineBuild> {buildOf(engine)});
    ordersRead();
    CHECK(choose().excludedBuilds.empty()); // an ordinary release
}

TEST_CASE_FIXTURE(Fixture, "a version of a replaced or rolled-back order gets nothing")
{
    add("old", "v1");
    const auto second = add("second", "v2");
    const auto third = add("third", "v3");
    ordersRead();
    rollouts.orderRead({service, "v2", 20s, 1}, clock.now(), 3s, true);
    rollouts.orderRead({service, "v3", 20s, 2}, clock.now(), 3s, true);
    CHECK(choose().fallbackExcludedBuilds == std::vector<EngineBuild> {buildOf(second), buildOf(third)});
    CHECK(rollouts.statusRead({service, "v3", RolloutState::RolledBack, 2}, clock.now()));
    CHECK(choose().version == VersionChoice::Old);
    CHECK(rollouts.badBuilds(service) == std::vector<EngineBuild> {buildOf(third)});
    CHECK_FALSE(rollouts.statusRead({service, "v3", RolloutState::Completed, 1}, clock.now())); // of another order
}

TEST_CASE_FIXTURE(Fixture, "a verdict of another gateway stops trials at once, and a completion ends them")
{
    add("old", "v1");
    add("new", "v2");
    ordersRead();
    rollouts.orderRead({service, "v2", 20s, 1}, clock.now(), 3s, true);
    CHECK(choose().version == VersionChoice::Trial);
    rollouts.addReports(HostName("g1"), {{1, hashOf("s"), true, false, {}}});
    CHECK(choose().version == VersionChoice::Old);
    CHECK(rollouts.statusRead({service, "v2", RolloutState::Completed, 1}, clock.now())); // the stored state decides
    CHECK(choose().version == VersionChoice::New);
    clock.advance(Rollouts::completedMemory + 1s);
    CHECK(choose().version == VersionChoice::Any);
}
