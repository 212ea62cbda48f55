#include "simulation.h"

#include <doctest/doctest.h>

#include <set>

using namespace monsoonward;
using namespace std::chrono_literals;

namespace
{

class EventSet : public EventLog
{
public:
    void record(Event event, Severity /*severity*/, const std::string & /*text*/) override
    {
        m_events.insert(event);
    }
    bool has(Event event) const
    {
        return m_events.count(event) != 0;
    }

private:
    std::multiset<Event> m_events;
};

/// A started fleet and its events; the destructor checks the guarantees to callers.
struct TestFleet
{
    explicit TestFleet(FleetShape shape = {})
    {
        fleet.setEventLog(events);
        fleet.start(shape);
    }
    ~TestFleet()
    {
        for (const auto &it : fleet.violations(true)) {
            FAIL_CHECK(it);
        }
    }
    TestFleet(const TestFleet &) = delete;
    TestFleet &operator=(const TestFleet &) = delete;

    void send(const std::string &name, const std::string &entry, const std::string &key = {}, unsigned tokens = 20)
    {
        CallerRequest request;
        request.name = name;
        request.entry = entry;
        request.key = key;
        request.outputTokens = tokens;
        if (!key.empty()) {
            request.body = key;
        }
        fleet.send(request);
    }
    Verdict verdict(const std::string &name) const
    {
        CHECK_MESSAGE(fleet.outcome(name).answers == 1, name);
        return fleet.outcome(name).verdict;
    }
    std::string targetThatRan(const std::string &name) const
    {
        for (const auto &it : fleet.record().runs()) {
            if (it.request == name) {
                return it.target.text();
            }
        }
        return {};
    }

    EventSet events;
    Simulation fleet;
};

FleetShape shapeOf(unsigned entries, unsigned targets, unsigned slots = 4)
{
    FleetShape shape;
    shape.entries = entries;
    shape.targets = targets;
    shape.slots = slots;
    return shape;
}

} // namespace

TEST_CASE("a request runs once and its caller gets the complete answer to it")
{
    TestFleet test;
    test.send("a", "entry-1");
    test.fleet.run(5s);
    CHECK(test.verdict("a") == Verdict::Completed);
    CHECK(test.fleet.runs("a") == 1);
}

TEST_CASE("a row write whose outcome is unknown is resolved by reading the row back")
{
    TestFleet test;
    test.fleet.setStore(StoreState::LoseNextAnswer);
    test.send("a", "entry-1", "booking");
    test.fleet.run(5s);
    CHECK(test.verdict("a") == Verdict::Completed);
    test.fleet.setStore(StoreState::LoseNextCall);
    test.send("b", "entry-1", "another");
    test.fleet.run(5s);
    CHECK(test.verdict("b") == Verdict::Completed);
}

TEST_CASE("a key whose row write lost its answer does not run again through another entry after the first entry dies")
{
    TestFleet test;
    test.fleet.setStore(StoreState::LoseNextAnswer);
    test.send("a", "entry-1", "booking");
    test.fleet.run(4ms);
    test.fleet.kill("entry-1");
    test.fleet.run(1s);
    test.send("b", "entry-2", "booking");
    test.fleet.run(5s);
    CHECK(test.verdict("b") == Verdict::MayHaveRun);
    CHECK(test.fleet.outcome("b").reason == RefusalReason::DuplicateKey);
}

TEST_CASE("a resend with a completed key does not run and is answered as a completed duplicate")
{
    TestFleet test;
    test.send("a", "entry-1", "booking");
    test.fleet.run(3s);
    test.send("b", "entry-2", "booking");
    test.send("c", "entry-1", "booking");
    test.fleet.run(3s);
    CHECK(test.verdict("b") == Verdict::Completed);
    CHECK(test.fleet.outcome("b").reason == RefusalReason::DuplicateKey);
    CHECK(test.verdict("c") == Verdict::Completed);
    CHECK(test.fleet.runs("b") + test.fleet.runs("c") == 0);
}

TEST_CASE("a key is released when its request is known not to have run")
{
    TestFleet test(shapeOf(2, 1, 1));
    test.send("long", "entry-1", {}, 300);
    test.fleet.run(100ms);
    test.send("a", "entry-1", "booking");
    test.fleet.run(100ms);
    test.fleet.hangUp("a");
    test.fleet.run(100ms);
    CHECK(test.verdict("a") == Verdict::NotRun);
    test.send("b", "entry-2", "booking");
    test.fleet.run(10s);
    CHECK(test.verdict("b") == Verdict::Completed);
}

TEST_CASE(
    "an entry takes over a key whose owner confirms that the request did not run, although the store keeps the old row")
{
    TestFleet test(shapeOf(2, 1, 1));
    test.send("long", "entry-1", {}, 300);
    test.fleet.run(100ms);
    test.send("a", "entry-1", "booking");
    test.fleet.run(100ms);
    test.fleet.setStore(StoreState::Down);
    test.fleet.hangUp("a");
    test.fleet.run(950ms); // a release that failed is tried again after 1 s
    test.fleet.setStore(StoreState::Up);
    test.send("b", "entry-2", "booking");
    test.fleet.run(10s);
    CHECK(test.verdict("b") == Verdict::Completed);
    CHECK(test.events.has(Event::KeyTakenOver));
}

TEST_CASE("while the store is down, requests with a key are refused at once and the others complete")
{
    TestFleet test;
    test.fleet.setStore(StoreState::Down);
    test.send("keyed", "entry-1", "booking");
    test.send("plain", "entry-1");
    test.fleet.run(100ms);
    CHECK(test.verdict("keyed") == Verdict::NotRun);
    CHECK(test.fleet.outcome("keyed").reason == RefusalReason::StoreUnavailable);
    test.fleet.run(5s);
    CHECK(test.verdict("plain") == Verdict::Completed);
}

TEST_CASE("a target dies after the hand-over: the caller hears \"may have run\" as soon as its successor connects")
{
    TestFleet test;
    test.send("a", "entry-1", {}, 500);
    test.fleet.run(500ms);
    const auto target = test.targetThatRan("a");
    test.fleet.restart(target);
    test.fleet.run(100ms);
    CHECK(test.verdict("a") == Verdict::MayHaveRun);
    CHECK(test.fleet.runs("a") == 1);
}

TEST_CASE("requests reserved but not claimed survive the death of their target")
{
    TestFleet test(shapeOf(1, 3, 1));
    for (int n = 0; n < 6; ++n) {
        test.send(std::to_string(n), "entry-1", {}, 100);
    }
    test.fleet.pause("target-1"); // before it has claimed a request
    test.fleet.run(200ms);
    test.fleet.kill("target-1");
    test.fleet.run(20s);
    for (int n = 0; n < 6; ++n) {
        CHECK(test.verdict(std::to_string(n)) == Verdict::Completed);
    }
}

TEST_CASE("a request whose hand-over was lost is placed again after the target gives up the claim")
{
    TestFleet test(shapeOf(1, 1));
    LinkFault slow;
    slow.delay = 100ms;
    test.fleet.setLink("entry-1", "target-1", slow);
    test.send("a", "entry-1");
    test.fleet.run(250ms); // reserved, claimed, handed over; the hand-over is on its way
    test.fleet.setBlocked("entry-1", "target-1", true);
    test.fleet.run(150ms);
    test.fleet.setBlocked("entry-1", "target-1", false);
    test.fleet.run(3s);
    CHECK(test.events.has(Event::ClaimGivenUp));
    CHECK(test.verdict("a") == Verdict::Completed);
}

TEST_CASE("a disconnect before the hand-over ends as not-run, after it the run is cancelled")
{
    TestFleet test(shapeOf(1, 1, 1));
    test.send("running", "entry-1", {}, 1000);
    test.fleet.run(200ms);
    test.send("waiting", "entry-1");
    test.fleet.run(50ms);
    test.fleet.hangUp("waiting");
    test.fleet.hangUp("running");
    test.fleet.run(500ms);
    CHECK(test.verdict("waiting") == Verdict::NotRun);
    CHECK(test.verdict("running") == Verdict::MayHaveRun);
    test.send("next", "entry-1");
    test.fleet.run(2s);
    CHECK(test.verdict("next") == Verdict::Completed);
}

TEST_CASE("a request that crashes its target crashes two targets, however often and wherever it is resent")
{
    TestFleet test(shapeOf(3, 5));
    const auto entries = test.fleet.entries();
    for (int n = 0; n < 10; ++n) {
        CallerRequest request;
        request.name = "poison-" + std::to_string(n);
        request.entry = entries[n % entries.size()];
        request.body = "poison";
        request.poison = true;
        test.fleet.send(request);
        test.fleet.run(5s);
    }
    unsigned crashed = 0;
    for (const auto &it : test.fleet.targets()) {
        crashed += test.fleet.alive(it) ? 0 : 1;
    }
    CHECK(crashed == 2);
    CHECK(test.fleet.outcome("poison-9").reason == RefusalReason::SuspectedCrash);
    CHECK(test.verdict("poison-9") == Verdict::NotRun);
    CHECK(test.events.has(Event::SuspectRefused));
}

TEST_CASE("ten concurrent copies of a request that has crashed one target crash one more")
{
    TestFleet test(shapeOf(3, 5));
    const auto entries = test.fleet.entries();
    const auto poison = [&](int n) {
        CallerRequest request;
        request.name = "poison-" + std::to_string(n);
        request.entry = entries[n % entries.size()];
        request.body = "poison";
        request.poison = true;
        test.fleet.send(request);
    };
    poison(0);
    test.fleet.run(5s);
    for (int n = 1; n <= 10; ++n) {
        poison(n);
    }
    test.fleet.run(30s);
    unsigned crashed = 0;
    for (const auto &it : test.fleet.targets()) {
        crashed += test.fleet.alive(it) ? 0 : 1;
    }
    CHECK(crashed == 2);
}

TEST_CASE("a request that ran when its target crashed is not refused and is cleared by a complete run")
{
    TestFleet test(shapeOf(2, 1));
    test.send("bystander", "entry-1", {}, 500);
    test.fleet.run(500ms);
    test.fleet.restart("target-1");
    test.fleet.run(2s);
    CHECK(test.verdict("bystander") == Verdict::MayHaveRun);
    CallerRequest again;
    again.name = "again";
    again.entry = "entry-2";
    again.body = "bystander";
    test.fleet.send(again);
    test.fleet.run(10s);
    CHECK(test.verdict("again") == Verdict::Completed);
    CHECK(test.events.has(Event::SuspectCleared));
}

TEST_CASE("a silent target gets no new requests from 2 s on, and gets them again once it responds")
{
    TestFleet test(shapeOf(1, 4, 1));
    test.fleet.pause("target-1");
    test.fleet.run(2s);
    const auto before = test.fleet.now();
    for (int n = 0; n < 6; ++n) {
        test.send("a" + std::to_string(n), "entry-1", {}, 20);
    }
    test.fleet.run(5s);
    CHECK(test.fleet.dispatches("target-1") == 0);
    CHECK(test.fleet.outcome("a5").took < 3s);
    CHECK(test.fleet.now() > before);
    test.fleet.resume("target-1");
    test.fleet.run(2s);
    for (int n = 0; n < 8; ++n) {
        test.send("b" + std::to_string(n), "entry-1", {}, 200);
    }
    test.fleet.run(20s);
    CHECK(test.fleet.dispatches("target-1") > 0);
}

TEST_CASE("an entry that finds most targets silent at once suspects its own connection")
{
    TestFleet test(shapeOf(1, 4));
    for (const auto *it : {"target-1", "target-2", "target-3"}) {
        test.fleet.pause(it);
    }
    test.fleet.run(3s);
    CHECK(test.events.has(Event::ObserverInDoubt));
    CHECK(!test.events.has(Event::PeerSilent));
}

TEST_CASE("a target that restarts repeatedly is held off")
{
    TestFleet test(shapeOf(1, 2, 1));
    for (int n = 0; n < 3; ++n) {
        test.fleet.restart("target-1");
        test.fleet.run(1s);
    }
    CHECK(test.events.has(Event::PeerHeldOff));
    const auto before = test.fleet.dispatches("target-1");
    for (int n = 0; n < 4; ++n) {
        test.send(std::to_string(n), "entry-1", {}, 100);
    }
    test.fleet.run(800ms);
    CHECK(test.fleet.dispatches("target-1") == before);
    test.fleet.run(10s);
}

TEST_CASE("a graceful shutdown of a target or an entry interrupts no request and ends by itself")
{
    TestFleet test(shapeOf(2, 2, 2));
    for (int n = 0; n < 12; ++n) {
        test.send(std::to_string(n), n % 2 == 0 ? "entry-1" : "entry-2", {}, 100 + n * 10);
    }
    test.fleet.run(300ms);
    test.fleet.stop("target-1");
    test.fleet.stop("entry-1");
    test.fleet.run(30s);
    CHECK(!test.fleet.alive("target-1"));
    CHECK(!test.fleet.alive("entry-1"));
    for (int n = 0; n < 12; ++n) {
        CHECK(test.verdict(std::to_string(n)) == Verdict::Completed);
    }
}

TEST_CASE("a draining target finishes its running requests and gets no new ones")
{
    TestFleet test(shapeOf(2, 2, 2));
    for (int n = 0; n < 4; ++n) {
        test.send("old" + std::to_string(n), "entry-1", {}, 300);
    }
    test.fleet.run(300ms);
    test.fleet.drain("target-1", true);
    test.fleet.run(3s);
    const auto before = test.fleet.dispatches("target-1");
    for (int n = 0; n < 12; ++n) {
        test.send("new" + std::to_string(n), "entry-2");
    }
    test.fleet.run(20s);
    CHECK(test.fleet.dispatches("target-1") == before);
    CHECK(test.verdict("old3") == Verdict::Completed);
    CHECK(test.verdict("new11") == Verdict::Completed);
}

TEST_CASE("a host that the platform lists as leaving gets no new requests")
{
    TestFleet test(shapeOf(1, 2, 1));
    test.fleet.setHostList({{HostName {"target-1"}, true}, {HostName {"target-2"}, false}});
    test.fleet.run(100ms);
    for (int n = 0; n < 4; ++n) {
        test.send(std::to_string(n), "entry-1");
    }
    test.fleet.run(5s);
    CHECK(test.fleet.dispatches("target-1") == 0);
}

TEST_CASE("a restarted entry serves requests within 2 s")
{
    TestFleet test;
    test.fleet.restart("entry-1");
    test.fleet.run(2s);
    test.send("a", "entry-1");
    test.send("b", "entry-1", "booking");
    test.fleet.run(2s);
    CHECK(test.verdict("a") == Verdict::Completed);
    CHECK(test.verdict("b") == Verdict::Completed);
}

TEST_CASE("a restarted target daemon counts the requests that its engine still runs")
{
    TestFleet test(shapeOf(1, 1, 2));
    test.send("a", "entry-1", {}, 500);
    test.send("b", "entry-1", {}, 500);
    test.fleet.run(1s);
    test.fleet.restart("target-1");
    test.fleet.run(1s);
    test.send("c", "entry-1");
    test.fleet.run(1s);
    CHECK(test.fleet.runs("c") == 0);
    test.fleet.run(10s);
    CHECK(test.verdict("c") == Verdict::Completed);
}

TEST_CASE("regions cut off from each other for an hour keep serving and give correct verdicts")
{
    auto shape = shapeOf(2, 4, 2);
    shape.regions = 2;
    TestFleet test(shape);
    LinkFault cut;
    cut.cut = true;
    for (const auto *it : {"entry-2", "target-2", "target-4"}) {
        test.fleet.setLink("entry-1", it, cut);
    }
    for (const auto *it : {"target-1", "target-3"}) {
        test.fleet.setLink("entry-2", it, cut);
    }
    for (int n = 0; n < 60; ++n) {
        test.send("1-" + std::to_string(n), "entry-1", n % 3 == 0 ? "key-" + std::to_string(n) : std::string());
        test.send("2-" + std::to_string(n), "entry-2", n % 3 == 0 ? "key-" + std::to_string(n) : std::string());
        test.fleet.run(60s);
    }
    unsigned completed = 0;
    for (const auto &[name, call] : test.fleet.record().calls()) {
        completed += test.fleet.outcome(name).reason ? 0 : 1;
    }
    CHECK(completed == 100); // each of the 20 shared keys runs in one region only
}
