#include "controlfleet.h"

#include <doctest/doctest.h>

using namespace monsoonward;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

/// Two entry hosts and three targets in region "south", one entry host in "north". fleetText() is active on all.
struct Fixture
{
    ControlFleet fleet {7};

    Fixture()
    {
        for (const auto *it : {"e1", "e2"}) {
            fleet.start(it, "south");
        }
        fleet.start("e3", "north");
        for (const auto *it : {"h1", "h2", "h3"}) {
            fleet.start(it, "south", HostRole::Target);
        }
        fleet.run(seconds(1));
        REQUIRE(fleet.declare("e1", fleetText(3)).status == 200);
        fleet.run(seconds(4));
    }

    std::string createPlan(const std::string &host,
                           const std::string &kind,
                           const std::string &subject,
                           const std::string &value = "")
    {
        const auto reply = fleet.plan(host, kind, subject, value);
        CAPTURE(reply.body.dump());
        REQUIRE(reply.status == 200);
        REQUIRE(reply.body.contains("id"));
        return reply.body["id"];
    }
    bool isInForceEverywhere(Revision revision)
    {
        for (const auto &it : fleet.nodes) {
            if (it.second->revision() != revision) {
                return false;
            }
        }
        return true;
    }
    std::string stateOf(const std::string &plan)
    {
        return fleet.callAndWait("e1", "GET", "/operator/plan/" + plan).body.value("state", "");
    }
    Revision limitOf(const std::string &host)
    {
        return find(fleet.nodes.at(host)->control->configuration()->customers, CustomerName("rouleaux"))
            ->limits.requestsInProgress;
    }
};

} // namespace

TEST_CASE_FIXTURE(Fixture, "a declaration becomes active on every daemon")
{
    CHECK(isInForceEverywhere(1));
    CHECK(fleet.nodes.at("e3")->control->configuration()->targets.size() == 3);
}

TEST_CASE_FIXTURE(Fixture,
                  "a confirmed change spreads to every daemon within 2 s through peers while the table service is down")
{
    const auto plan = createPlan("e2", "set-limit", "rouleaux", "requests-in-progress=5");
    CHECK(isInForceEverywhere(1));
    CHECK(fleet.confirm("e2", plan).body["outcome"] == "accepted");
    fleet.table.setFault(TableFault::Down); // immediately after the commit
    fleet.run(seconds(2));
    CHECK(isInForceEverywhere(2));
    CHECK(limitOf("e3") == 5);
}

TEST_CASE_FIXTURE(Fixture, "when two operators confirm conflicting plans, the second is told what changed")
{
    const auto first = createPlan("e1", "set-limit", "rouleaux", "requests-in-progress=5");
    const auto second = createPlan("e2", "drain-host", "h1");
    CHECK(fleet.confirm("e1", first).status == 200);
    const auto reply = fleet.confirm("e2", second);
    CHECK(reply.status == 409);
    CHECK(reply.body["outcome"] == "not accepted");
    CHECK(reply.body["error"].get<std::string>().find("requests-in-progress=5") != std::string::npos);
    const auto again = createPlan("e2", "drain-host", "h1");
    CHECK(fleet.confirm("e2", again).status == 200);
}

TEST_CASE_FIXTURE(Fixture, "confirming a plan twice commits it once")
{
    const auto plan = createPlan("e1", "set-limit", "rouleaux", "requests-in-progress=5");
    CHECK(fleet.confirm("e1", plan).body["revision"] == 2);
    CHECK(fleet.confirm("e2", plan).body["revision"] == 2);
    fleet.run(seconds(3));
    CHECK(isInForceEverywhere(2));
    CHECK(fleet.callAndWait("e1", "GET", "/operator/log").body["log"].size() == 2);
}

TEST_CASE_FIXTURE(Fixture, "a lost response to the confirming write is resolved by reading the plan back")
{
    const auto plan = createPlan("e1", "set-limit", "rouleaux", "requests-in-progress=5");
    SUBCASE("the write took effect")
    {
        fleet.table.setNextWriteFault(TableFault::LostResponse);
        CHECK(fleet.confirm("e1", plan).body["outcome"] == "accepted");
        fleet.run(seconds(3));
        CHECK(isInForceEverywhere(2));
    }
    SUBCASE("the write did not take effect")
    {
        fleet.table.setNextWriteFault(TableFault::LostRequest);
        const auto reply = fleet.confirm("e1", plan);
        CHECK(reply.status == 409);
        CHECK(reply.body["outcome"] == "not accepted");
        fleet.run(seconds(3));
        CHECK(isInForceEverywhere(1));
    }
    SUBCASE("the plan cannot be read back")
    {
        fleet.table.setNextWriteFault(TableFault::LostResponse);
        const auto reply = fleet.call("e1", "POST", "/operator/confirm/" + plan, nlohmann::json::object());
        while (fleet.table.rows().at("config/head").version == 1) {
            REQUIRE(fleet.table.deliverOne());
        }
        fleet.table.setFault(TableFault::Down);
        fleet.run(seconds(8));
        CHECK(reply->status == 502);
        CHECK(reply->body["outcome"] == "unknown");
        CHECK(reply->body["command"] == "monsoonctl plan " + plan);
        fleet.table.setFault(TableFault::None);
        fleet.run(seconds(12));
        CHECK(isInForceEverywhere(2));
        CHECK(stateOf(plan) == "done");
    }
}

TEST_CASE_FIXTURE(Fixture, "a drain waits until no request is in progress")
{
    fleet.running[TargetName("t1")] = 2;
    fleet.run(seconds(1));
    const auto reply = fleet.plan("e1", "drain-host", "h1");
    CHECK(reply.body["requestsTouched"] == 2);
    CHECK(reply.body["capacity"][0]["during"] == 8);
    const std::string plan = reply.body["id"];
    CHECK(fleet.confirm("e1", plan).status == 200);
    fleet.run(seconds(10));
    CHECK(stateOf(plan) == "executing");
    CHECK(fleet.callAndWait("e1", "GET", "/operator/plan/" + plan).body["waitsFor"]
          == "requests in progress at t1 (2)");
    fleet.running[TargetName("t1")] = 0;
    fleet.run(seconds(3));
    CHECK(stateOf(plan) == "done");
}

TEST_CASE_FIXTURE(Fixture, "another daemon takes over the plan of a stopped executor, and each step takes effect once")
{
    fleet.running[TargetName("t1")] = 1;
    const auto plan = createPlan("e2", "remove-host", "h1");
    CHECK(fleet.confirm("e2", plan).status == 200);
    fleet.run(seconds(3));
    fleet.stop("e2");
    fleet.run(seconds(5));
    fleet.start("e2", "south");
    fleet.running[TargetName("t1")] = 0;
    fleet.run(seconds(20));
    CHECK(stateOf(plan) == "done");
    CHECK(isInForceEverywhere(3));
    CHECK(find(fleet.nodes.at("e3")->control->configuration()->targets, TargetName("t1")) == nullptr);
}

TEST_CASE_FIXTURE(Fixture, "an executor that was paused until its lease expired executes no further step")
{
    fleet.running[TargetName("t1")] = 1;
    const auto plan = createPlan("e2", "move-target", "t1", "other");
    CHECK(fleet.confirm("e2", plan).status == 200);
    fleet.run(seconds(3));
    fleet.nodes.at("e2")->paused = true;
    fleet.run(seconds(20)); // another daemon acquires the lease; the step still waits for the request
    CHECK(stateOf(plan) == "executing");
    fleet.nodes.at("e2")->paused = false;
    fleet.running[TargetName("t1")] = 0;
    fleet.run(seconds(20));
    CHECK(stateOf(plan) == "done");
    CHECK(isInForceEverywhere(4)); // one revision each for drain, move and return
}

TEST_CASE_FIXTURE(Fixture, "abort stops a plan between steps and reports which steps remain in effect")
{
    fleet.running[TargetName("t1")] = 1;
    const auto plan = createPlan("e1", "remove-host", "h1");
    CHECK(fleet.confirm("e1", plan).status == 200);
    fleet.run(seconds(3));
    const auto reply = fleet.callAndWait("e2", "POST", "/operator/abort/" + plan, nlohmann::json::object());
    CHECK(reply.body["state"] == "aborted");
    CHECK(reply.body["outcome"].get<std::string>().find("after step 2 of 5") != std::string::npos);
    fleet.running[TargetName("t1")] = 0;
    fleet.run(seconds(20));
    CHECK(stateOf(plan) == "aborted");
    CHECK(isInForceEverywhere(2));
}

TEST_CASE_FIXTURE(
    Fixture, "a drain is aborted when another plan returns its target to service, and the outcome names the target")
{
    fleet.running[TargetName("t1")] = 1;
    const auto drain = createPlan("e1", "move-target", "t1", "other");
    CHECK(fleet.confirm("e1", drain).status == 200);
    fleet.run(seconds(3));
    CHECK(stateOf(drain) == "executing");
    CHECK(fleet.confirm("e2", createPlan("e2", "return-target", "t1")).status == 200);
    fleet.run(seconds(5));
    CHECK(stateOf(drain) == "aborted");
    const auto outcome = fleet.callAndWait("e1", "GET", "/operator/plan/" + drain).body["outcome"].get<std::string>();
    CHECK(outcome.find("another plan gave work again to t1") != std::string::npos);
    CHECK(isInForceEverywhere(3)); // one revision each for drain and return
}

TEST_CASE_FIXTURE(Fixture,
                  "a plan that would violate a guarantee is refused unless the operator overrides that guarantee")
{
    for (const auto *it : {"t1", "t2"}) {
        CHECK(fleet.confirm("e1", createPlan("e1", "drain-target", it)).status == 200);
        fleet.run(seconds(5));
    }
    const auto plan = createPlan("e1", "drain-target", "t3");
    const auto refused = fleet.confirm("e1", plan);
    CHECK(refused.status == 422);
    CHECK(refused.body["error"].get<std::string>().rfind("service-without-target", 0) == 0);
    CHECK(fleet.confirm("e1", plan, {"service-without-target"}).status == 200);
    const auto log = fleet.callAndWait("e1", "GET", "/operator/log").body["log"];
    CHECK(log.back()["overrides"][0] == "service-without-target");
}

TEST_CASE_FIXTURE(Fixture,
                  "a confirmation is refused while a region is unreachable; if overridden, the region catches up later")
{
    fleet.isolateRegion("north");
    const auto plan = createPlan("e1", "set-limit", "rouleaux", "requests-in-progress=5");
    const auto refused = fleet.confirm("e1", plan);
    CHECK(refused.status == 422);
    CHECK(refused.body["error"].get<std::string>().rfind("region-unreachable: region north", 0) == 0);
    CHECK(fleet.confirm("e1", plan, {"region-unreachable"}).status == 200);
    fleet.run(seconds(5));
    CHECK(stateOf(plan) == "executing"); // e3 counts as unreachable, even if it has read the revision from the store
    fleet.reconnectRegion("north");
    fleet.run(seconds(5));
    CHECK(isInForceEverywhere(2));
    CHECK(stateOf(plan) == "done");
}

TEST_CASE_FIXTURE(Fixture, "a daemon that starts during an outage of the store gets the configuration from its peers")
{
    fleet.table.setFault(TableFault::Down);
    auto &node = fleet.start("h2", "south", HostRole::Target);
    fleet.run(seconds(1));
    CHECK_FALSE(node.control->configuration());
    fleet.run(seconds(3));
    REQUIRE(node.control->configuration());
    CHECK(node.revision() == 1);
}

TEST_CASE("a daemon that starts during an outage of the store without peers adopts no configuration")
{
    ControlFleet fleet(1);
    fleet.table.setFault(TableFault::Down);
    auto &node = fleet.start("e1", "south");
    fleet.run(std::chrono::hours(1));
    CHECK_FALSE(node.control->configuration());
    CHECK(fleet.callAndWait("e1", "GET", "/operator/status").status == 503);
}

TEST_CASE_FIXTURE(Fixture, "operators need a known token and the right for the request")
{
    const auto text = fleetText(3) + "[operator reader]\ntoken-hash = " + sha256("r")
        + "\nrights = read\n[operator chief]\n" + "token-hash = " + sha256("c") + "\nrights = read, plan, confirm\n";
    REQUIRE(fleet.declare("e1", text).status == 200);
    fleet.run(seconds(3));
    CHECK(fleet.callAndWait("e1", "GET", "/operator/status").status == 401); // the bootstrap token is no longer valid
    CHECK(fleet.callAndWait("e1", "GET", "/operator/status", {}, "").status == 401);
    CHECK(fleet.callAndWait("e1", "GET", "/operator/status", {}, "r").status == 200);
    const nlohmann::json intent {{"intent", "drain-host"}, {"subject", "h1"}};
    CHECK(fleet.callAndWait("e1", "POST", "/operator/plan", intent, "r").status == 403);
    CHECK(fleet.callAndWait("e1", "POST", "/operator/plan", intent, "c").status == 200);
}

TEST_CASE_FIXTURE(Fixture,
                  "declaring the same files again keeps a drained host drained, and an export contains its state")
{
    CHECK(fleet.confirm("e1", createPlan("e1", "drain-host", "h1")).status == 200);
    fleet.run(seconds(5));
    CHECK_FALSE(fleet.declare("e1", fleetText(3)).body.contains("id"));
    const std::string text = fleet.callAndWait("e1", "GET", "/operator/export").body["text"];
    const auto parsed = parseDeclarations({{"export.ini", text}});
    CHECK(parsed.errors.empty());
    auto expected = *fleet.nodes.at("e1")->control->configuration();
    expected.revision = 0;
    CHECK(parsed.configuration == expected);
}

TEST_CASE_FIXTURE(Fixture, "malformed requests are rejected with the matching status")
{
    CHECK(fleet.callAndWait("e1", "POST", "/operator/plan", "text").status == 400);
    CHECK(fleet.plan("e1", "fly", "h1").status == 400);
    CHECK(fleet.plan("e1", "drain-host", "nowhere").status == 400);
    CHECK(fleet.plan("e1", "set-limit", "rouleaux", "weight=0").status == 400);
    CHECK(fleet.confirm("e1", "p0").status == 404);
    CHECK(fleet.callAndWait("e1", "GET", "/operator/plan/../x").status == 404);
    const auto reply = fleet.declare("e1", "[region a]\n[data-centre b]\nregion = c\nx = 1\n");
    CHECK(reply.status == 400);
    CHECK(reply.body["errors"].size() == 2);
}

TEST_CASE("after many changes, a new daemon reads a snapshot and the deltas after it")
{
    ControlFleet fleet(3);
    fleet.start("e1", "south");
    fleet.run(seconds(1));
    REQUIRE(fleet.declare("e1", "[customer c]\n").status == 200);
    for (int n = 1; n <= 150; ++n) {
        const auto plan = fleet.plan("e1", "set-limit", "c", "tokens-in-progress=" + std::to_string(n));
        REQUIRE(fleet.confirm("e1", plan.body["id"]).status == 200);
    }
    fleet.stop("e1");
    auto &newNode = fleet.start("e2", "south");
    fleet.run(seconds(2));
    CHECK(newNode.revision() == 151);
    CHECK(newNode.control->configuration()->customers[0].limits.tokensInProgress == 150);
}
