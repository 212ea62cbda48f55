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

/// A fleet that is started, with its events; the promises are checked when it goes out of scope.
struct Trial
{
    explicit Trial(FleetShape shape = {})
    {
        fleet.setEventLog(events);
        fleet.start(shape);
    }
    ~Trial()
    {
        for (const auto &it : fleet.broken(true)) {
            FAIL_CHECK(it);
        }
    }
    Trial(const Trial &) = delete;
    Trial &operator=(const Trial &) = delete;

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
    std::string holderOf(const std::string &name) const
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

TEST_CASE("a request runs once and its caller gets its own whole answer")
{
    Trial trial;
    trial.send("a", "entry-1");
    trial.fleet.run(5s);
    CHECK(trial.verdict("a") == Verdict::Completed);
    CHECK(trial.fleet.runs("a") == 1);
}

TEST_CASE("a row whose write was answered to nobody is settled by reading it back")
{
    Trial trial;
    trial.fleet.setStore(StoreState::LoseNextAnswer);
    trial.send("a", "entry-1", "booking");
    trial.fleet.run(5s);
    CHECK(trial.verdict("a") == Verdict::Completed);
    trial.fleet.setStore(StoreState::LoseNextCall);
    trial.send("b", "entry-1", "another");
    trial.fleet.run(5s);
    CHECK(trial.verdict("b") == Verdict::Completed);
}

TEST_CASE("the store's answer is lost and the entry dies right after: a resend elsewhere doesn't run")
{
    Trial trial;
    trial.fleet.setStore(StoreState::LoseNextAnswer);
    trial.send("a", "entry-1", "booking");
    trial.fleet.run(4ms);
    trial.fleet.kill("entry-1");
    trial.fleet.run(1s);
    trial.send("b", "entry-2", "booking");
    trial.fleet.run(5s);
    CHECK(trial.verdict("b") == Verdict::MayHaveRun);
    CHECK(trial.fleet.outcome("b").reason == RefusalReason::DuplicateKey);
}

TEST_CASE("a key that has completed does not run again, and says so")
{
    Trial trial;
    trial.send("a", "entry-1", "booking");
    trial.fleet.run(3s);
    trial.send("b", "entry-2", "booking");
    trial.send("c", "entry-1", "booking");
    trial.fleet.run(3s);
    CHECK(trial.verdict("b") == Verdict::Completed);
    CHECK(trial.fleet.outcome("b").reason == RefusalReason::DuplicateKey);
    CHECK(trial.verdict("c") == Verdict::Completed);
    CHECK(trial.fleet.runs("b") + trial.fleet.runs("c") == 0);
}

TEST_CASE("a key whose request surely did not run is free for a resend")
{
    Trial trial(shapeOf(2, 1, 1));
    trial.send("long", "entry-1", {}, 300);
    trial.fleet.run(100ms);
    trial.send("a", "entry-1", "booking");
    trial.fleet.run(100ms);
    trial.fleet.hangUp("a");
    trial.fleet.run(100ms);
    CHECK(trial.verdict("a") == Verdict::NotRun);
    trial.send("b", "entry-2", "booking");
    trial.fleet.run(10s);
    CHECK(trial.verdict("b") == Verdict::Completed);
}

TEST_CASE("the holder's word frees a key while the store keeps the old row")
{
    Trial trial(shapeOf(2, 1, 1));
    trial.send("long", "entry-1", {}, 300);
    trial.fleet.run(100ms);
    trial.send("a", "entry-1", "booking");
    trial.fleet.run(100ms);
    trial.fleet.setStore(StoreState::Down);
    trial.fleet.hangUp("a");
    trial.fleet.run(950ms); // a release that failed is tried again after 1 s
    trial.fleet.setStore(StoreState::Up);
    trial.send("b", "entry-2", "booking");
    trial.fleet.run(10s);
    CHECK(trial.verdict("b") == Verdict::Completed);
    CHECK(trial.events.has(Event::KeyTakenOver));
}

TEST_CASE("while the store is down, what needs a row is refused at once and the rest goes on")
{
    Trial trial;
    trial.fleet.setStore(StoreState::Down);
    trial.send("keyed", "entry-1", "booking");
    trial.send("plain", "entry-1");
    trial.fleet.run(100ms);
    CHECK(trial.verdict("keyed") == Verdict::NotRun);
    CHECK(trial.fleet.outcome("keyed").reason == RefusalReason::StoreUnavailable);
    trial.fleet.run(5s);
    CHECK(trial.verdict("plain") == Verdict::Completed);
}

TEST_CASE("a target that dies after the hand-over: may have run, told at once when its successor is up")
{
    Trial trial;
    trial.send("a", "entry-1", {}, 500);
    trial.fleet.run(500ms);
    const auto holder = trial.holderOf("a");
    trial.fleet.restart(holder);
    trial.fleet.run(100ms);
    CHECK(trial.verdict("a") == Verdict::MayHaveRun);
    CHECK(trial.fleet.runs("a") == 1);
}

TEST_CASE("a target that dies with reservations only loses nothing")
{
    Trial trial(shapeOf(1, 3, 1));
    for (int n = 0; n < 6; ++n) {
        trial.send(std::to_string(n), "entry-1", {}, 100);
    }
    trial.fleet.pause("target-1"); // has claimed nothing yet
    trial.fleet.run(200ms);
    trial.fleet.kill("target-1");
    trial.fleet.run(20s);
    for (int n = 0; n < 6; ++n) {
        CHECK(trial.verdict(std::to_string(n)) == Verdict::Completed);
    }
}

TEST_CASE("a hand-over that is lost on the way is settled by the target's refusal and placed again")
{
    Trial trial(shapeOf(1, 1));
    LinkFault slow;
    slow.delay = 100ms;
    trial.fleet.setLink("entry-1", "target-1", slow);
    trial.send("a", "entry-1");
    trial.fleet.run(250ms); // reserved, claimed, handed over; the hand-over is on its way
    trial.fleet.setOneWay("entry-1", "target-1", true);
    trial.fleet.run(150ms);
    trial.fleet.setOneWay("entry-1", "target-1", false);
    trial.fleet.run(3s);
    CHECK(trial.events.has(Event::ClaimGivenUp));
    CHECK(trial.verdict("a") == Verdict::Completed);
}

TEST_CASE("a caller that leaves before the hand-over gets a true not-run, after it the run is stopped")
{
    Trial trial(shapeOf(1, 1, 1));
    trial.send("running", "entry-1", {}, 1000);
    trial.fleet.run(200ms);
    trial.send("waiting", "entry-1");
    trial.fleet.run(50ms);
    trial.fleet.hangUp("waiting");
    trial.fleet.hangUp("running");
    trial.fleet.run(500ms);
    CHECK(trial.verdict("waiting") == Verdict::NotRun);
    CHECK(trial.verdict("running") == Verdict::MayHaveRun);
    trial.send("next", "entry-1");
    trial.fleet.run(2s);
    CHECK(trial.verdict("next") == Verdict::Completed);
}

TEST_CASE("a request that crashes its target costs two targets, however often and wherever it is resent")
{
    Trial trial(shapeOf(3, 5));
    const auto entries = trial.fleet.entries();
    for (int n = 0; n < 10; ++n) {
        CallerRequest request;
        request.name = "poison-" + std::to_string(n);
        request.entry = entries[n % entries.size()];
        request.body = "poison";
        request.poison = true;
        trial.fleet.send(request);
        trial.fleet.run(5s);
    }
    unsigned lost = 0;
    for (const auto &it : trial.fleet.targets()) {
        lost += trial.fleet.alive(it) ? 0 : 1;
    }
    CHECK(lost == 2);
    CHECK(trial.fleet.outcome("poison-9").reason == RefusalReason::SuspectedCrash);
    CHECK(trial.verdict("poison-9") == Verdict::NotRun);
    CHECK(trial.events.has(Event::SuspectRefused));
}

TEST_CASE("ten copies of such a request sent at once after the first crash cost one more target")
{
    Trial trial(shapeOf(3, 5));
    const auto entries = trial.fleet.entries();
    const auto poison = [&](int n) {
        CallerRequest request;
        request.name = "poison-" + std::to_string(n);
        request.entry = entries[n % entries.size()];
        request.body = "poison";
        request.poison = true;
        trial.fleet.send(request);
    };
    poison(0);
    trial.fleet.run(5s);
    for (int n = 1; n <= 10; ++n) {
        poison(n);
    }
    trial.fleet.run(30s);
    unsigned lost = 0;
    for (const auto &it : trial.fleet.targets()) {
        lost += trial.fleet.alive(it) ? 0 : 1;
    }
    CHECK(lost == 2);
}

TEST_CASE("a bystander of a crash is not refused, and is cleared by a whole run")
{
    Trial trial(shapeOf(2, 1));
    trial.send("bystander", "entry-1", {}, 500);
    trial.fleet.run(500ms);
    trial.fleet.restart("target-1");
    trial.fleet.run(2s);
    CHECK(trial.verdict("bystander") == Verdict::MayHaveRun);
    CallerRequest again;
    again.name = "again";
    again.entry = "entry-2";
    again.body = "bystander";
    trial.fleet.send(again);
    trial.fleet.run(10s);
    CHECK(trial.verdict("again") == Verdict::Completed);
    CHECK(trial.events.has(Event::SuspectCleared));
}

TEST_CASE("a silent target gets nothing new within 2 s and comes back")
{
    Trial trial(shapeOf(1, 4, 1));
    trial.fleet.pause("target-1");
    trial.fleet.run(2s);
    const auto before = trial.fleet.now();
    for (int n = 0; n < 6; ++n) {
        trial.send("a" + std::to_string(n), "entry-1", {}, 20);
    }
    trial.fleet.run(5s);
    CHECK(trial.fleet.dispatches("target-1") == 0);
    CHECK(trial.fleet.outcome("a5").took < 3s);
    CHECK(trial.fleet.now() > before);
    trial.fleet.resume("target-1");
    trial.fleet.run(2s);
    for (int n = 0; n < 8; ++n) {
        trial.send("b" + std::to_string(n), "entry-1", {}, 200);
    }
    trial.fleet.run(20s);
    CHECK(trial.fleet.dispatches("target-1") > 0);
}

TEST_CASE("when most targets are silent at once the entry doubts itself")
{
    Trial trial(shapeOf(1, 4));
    for (const auto *it : {"target-1", "target-2", "target-3"}) {
        trial.fleet.pause(it);
    }
    trial.fleet.run(3s);
    CHECK(trial.events.has(Event::ObserverInDoubt));
    CHECK(!trial.events.has(Event::PeerSilent));
}

TEST_CASE("a target that is lost again and again is held off")
{
    Trial trial(shapeOf(1, 2, 1));
    for (int n = 0; n < 3; ++n) {
        trial.fleet.restart("target-1");
        trial.fleet.run(1s);
    }
    CHECK(trial.events.has(Event::PeerHeldOff));
    const auto before = trial.fleet.dispatches("target-1");
    for (int n = 0; n < 4; ++n) {
        trial.send(std::to_string(n), "entry-1", {}, 100);
    }
    trial.fleet.run(800ms);
    CHECK(trial.fleet.dispatches("target-1") == before);
    trial.fleet.run(10s);
}

TEST_CASE("a planned stop of a target or an entry cuts off nothing and ends by itself")
{
    Trial trial(shapeOf(2, 2, 2));
    for (int n = 0; n < 12; ++n) {
        trial.send(std::to_string(n), n % 2 == 0 ? "entry-1" : "entry-2", {}, 100 + n * 10);
    }
    trial.fleet.run(300ms);
    trial.fleet.stop("target-1");
    trial.fleet.stop("entry-1");
    trial.fleet.run(30s);
    CHECK(!trial.fleet.alive("target-1"));
    CHECK(!trial.fleet.alive("entry-1"));
    for (int n = 0; n < 12; ++n) {
        CHECK(trial.verdict(std::to_string(n)) == Verdict::Completed);
    }
}

TEST_CASE("a draining target finishes what it runs and gets nothing new")
{
    Trial trial(shapeOf(2, 2, 2));
    for (int n = 0; n < 4; ++n) {
        trial.send("old" + std::to_string(n), "entry-1", {}, 300);
    }
    trial.fleet.run(300ms);
    trial.fleet.drain("target-1", true);
    trial.fleet.run(3s);
    const auto before = trial.fleet.dispatches("target-1");
    for (int n = 0; n < 12; ++n) {
        trial.send("new" + std::to_string(n), "entry-2");
    }
    trial.fleet.run(20s);
    CHECK(trial.fleet.dispatches("target-1") == before);
    CHECK(trial.verdict("old3") == Verdict::Completed);
    CHECK(trial.verdict("new11") == Verdict::Completed);
}

TEST_CASE("a host that the platform lists as leaving gets nothing new")
{
    Trial trial(shapeOf(1, 2, 1));
    trial.fleet.setHostList({{HostName {"target-1"}, true}, {HostName {"target-2"}, false}});
    trial.fleet.run(100ms);
    for (int n = 0; n < 4; ++n) {
        trial.send(std::to_string(n), "entry-1");
    }
    trial.fleet.run(5s);
    CHECK(trial.fleet.dispatches("target-1") == 0);
}

TEST_CASE("an entry that restarts serves within 2 s")
{
    Trial trial;
    trial.fleet.restart("entry-1");
    trial.fleet.run(2s);
    trial.send("a", "entry-1");
    trial.send("b", "entry-1", "booking");
    trial.fleet.run(2s);
    CHECK(trial.verdict("a") == Verdict::Completed);
    CHECK(trial.verdict("b") == Verdict::Completed);
}

TEST_CASE("a target daemon that restarts counts what its engine still runs")
{
    Trial trial(shapeOf(1, 1, 2));
    trial.send("a", "entry-1", {}, 500);
    trial.send("b", "entry-1", {}, 500);
    trial.fleet.run(1s);
    trial.fleet.restart("target-1");
    trial.fleet.run(1s);
    trial.send("c", "entry-1");
    trial.fleet.run(1s);
    CHECK(trial.fleet.runs("c") == 0);
    trial.fleet.run(10s);
    CHECK(trial.verdict("c") == Verdict::Completed);
}

TEST_CASE("regions that lose each other for an hour serve on and tell the truth")
{
    auto shape = shapeOf(2, 4, 2);
    shape.regions = 2;
    Trial trial(shape);
    LinkFault cut;
    cut.cut = true;
    for (const auto *it : {"entry-2", "target-2", "target-4"}) {
        trial.fleet.setLink("entry-1", it, cut);
    }
    for (const auto *it : {"target-1", "target-3"}) {
        trial.fleet.setLink("entry-2", it, cut);
    }
    for (int n = 0; n < 60; ++n) {
        trial.send("1-" + std::to_string(n), "entry-1", n % 3 == 0 ? "key-" + std::to_string(n) : std::string());
        trial.send("2-" + std::to_string(n), "entry-2", n % 3 == 0 ? "key-" + std::to_string(n) : std::string());
        trial.fleet.run(60s);
    }
    unsigned completed = 0;
    for (const auto &[name, call] : trial.fleet.record().calls()) {
        completed += trial.fleet.outcome(name).reason ? 0 : 1;
    }
    CHECK(completed == 100); // each of the 20 shared keys runs in one region only
}
