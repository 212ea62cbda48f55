#include "monsoonward/dispatch/dispatch.h"

#include <doctest/doctest.h>

using namespace monsoonward;
using namespace std::chrono_literals;

namespace
{

const ServiceName service("model");

EngineRecord engine(const std::string &name, bool isLeaving = false)
{
    EngineRecord it;
    it.name = EngineName(name);
    it.service = service;
    it.isLeaving = isLeaving;
    return it;
}

} // namespace

TEST_CASE("an engine gets no new requests as soon as it is leaving or removed")
{
    VirtualClock clock;
    EngineDirectory directory;
    directory.storeAnswered(clock.now());
    directory.replace({engine("a"), engine("b"), engine("c")}, clock.now());
    directory.put(engine("a", true));
    directory.remove(EngineName("b"), clock.now());
    REQUIRE(directory.ofService(service).size() == 1);
    CHECK(directory.ofService(service).front()->name == EngineName("c"));
    CHECK(directory.ofService(ServiceName("other")).empty());
    const std::vector<EngineName> dropped {EngineName("a"), EngineName("c")};
    CHECK(directory.replace({}, clock.now()) == dropped);
    CHECK(directory.size() == 0);
}

TEST_CASE("engines whose registrations expired during a store outage are dropped only after the timeout")
{
    VirtualClock clock;
    EngineDirectory directory;
    directory.replace({engine("a"), engine("b"), engine("leaving", true)}, clock.now());
    directory.storeFailed(clock.now());
    clock.advance(9s);
    directory.storeAnswered(clock.now());
    CHECK(directory.replace({}, clock.now()) == std::vector<EngineName> {EngineName("leaving")});
    CHECK(directory.ofService(service).size() == 2);
    CHECK(directory.find(EngineName("leaving")) == nullptr);
    clock.advance(1900ms);
    CHECK(directory.expire(clock.now()).empty());
    directory.put(engine("a"));
    clock.advance(200ms);
    CHECK(directory.expire(clock.now()) == std::vector<EngineName> {EngineName("b")});
    CHECK(directory.ofService(service).size() == 1);
    directory.remove(EngineName("a"), clock.now());
    CHECK(directory.size() == 0);
}

TEST_CASE("an engine that said it is leaving stays so until it registers with another start time")
{
    VirtualClock clock;
    EngineDirectory directory;
    auto record = engine("a");
    record.incarnation = 100;
    directory.put(record);
    CHECK(directory.mayReceive(record.name));
    CHECK(directory.markLeaving(record.name));
    CHECK_FALSE(directory.markLeaving(record.name));
    CHECK_FALSE(directory.markLeaving(EngineName("unknown")));
    CHECK(directory.selfReportedLeaving() == std::set<EngineName> {record.name});
    directory.put(record);
    CHECK(directory.ofService(service).empty());
    directory.remove(record.name, clock.now());
    directory.put(record); // written again, as after a restore of the store
    CHECK_FALSE(directory.mayReceive(record.name));
    record.incarnation = 101;
    directory.put(record);
    CHECK(directory.mayReceive(record.name));
}

TEST_CASE("a restored store brings back neither a departed engine nor a leaving one as ready")
{
    VirtualClock clock;
    EngineDirectory directory;
    directory.replace({engine("gone"), engine("leaving"), engine("new")}, clock.now());
    directory.put(engine("leaving", true));
    directory.remove(EngineName("gone"), clock.now());
    // The copy is from before these changes, and from before "new" registered.
    CHECK(directory.replaceAfterRestore({engine("gone"), engine("leaving")}, clock.now()).empty());
    REQUIRE(directory.ofService(service).size() == 1);
    CHECK(directory.ofService(service).front()->name == EngineName("new"));
    clock.advance(EngineDirectory::reregistrationTimeout);
    CHECK(directory.expire(clock.now()) == std::vector<EngineName> {EngineName("new")});
    directory.put(engine("gone")); // written again: it runs
    CHECK(directory.mayReceive(EngineName("gone")));
}

TEST_CASE("an engine that a restored store lists again is used if its registration stays")
{
    VirtualClock clock;
    EngineDirectory directory;
    directory.replace({engine("lapsed")}, clock.now());
    directory.remove(EngineName("lapsed"), clock.now());
    directory.replaceAfterRestore({engine("lapsed")}, clock.now());
    CHECK_FALSE(directory.mayReceive(EngineName("lapsed")));
    clock.advance(EngineDirectory::confirmationTime);
    directory.expire(clock.now());
    CHECK(directory.mayReceive(EngineName("lapsed")));
}

TEST_CASE("a second restore within the confirmation time brings back no departed engine either")
{
    VirtualClock clock;
    EngineDirectory directory;
    auto gone = engine("gone");
    gone.incarnation = 100;
    directory.replace({gone, engine("kept")}, clock.now());
    directory.remove(gone.name, clock.now());
    directory.replaceAfterRestore({gone, engine("kept")}, clock.now());
    clock.advance(EngineDirectory::confirmationTime / 2);
    directory.replaceAfterRestore({gone, engine("kept")}, clock.now());
    CHECK_FALSE(directory.mayReceive(gone.name));
    clock.advance(EngineDirectory::confirmationTime / 2);
    directory.expire(clock.now());
    CHECK_FALSE(directory.mayReceive(gone.name)); // its registration has stayed in the second copy for 3 s only
    directory.replace({gone, engine("kept")}, clock.now()); // listed again, not written again
    CHECK_FALSE(directory.mayReceive(gone.name));
    CHECK(directory.mayReceive(EngineName("kept")));
    gone.incarnation = 101;
    directory.put(gone);
    CHECK(directory.mayReceive(gone.name));
}

// A daemon that was cut off from the store kept engines that had left meanwhile for 2 s from its own recovery.
TEST_CASE("engines that left while only this daemon was cut off from the store are dropped at once")
{
    VirtualClock clock;
    EngineDirectory directory;
    directory.storeAnswered(clock.now());
    directory.replace({engine("a"), engine("b")}, clock.now());
    directory.storeFailed(clock.now());
    for (unsigned n = 0; n < 4; ++n) {
        clock.advance(1s);
        directory.storeFailed(clock.now());
        directory.storeAnsweredPeer(clock.now());
    }
    clock.advance(500ms);
    directory.storeAnswered(clock.now());
    directory.remove(EngineName("a"), clock.now());
    CHECK(directory.find(EngineName("a")) == nullptr);
}

TEST_CASE("engines are kept after an outage that ended shortly before, as peers have told")
{
    VirtualClock clock;
    EngineDirectory directory;
    directory.storeAnswered(clock.now());
    directory.replace({engine("a")}, clock.now());
    directory.storeAnsweredPeer(clock.now());
    directory.storeFailed(clock.now());
    clock.advance(9s); // peers have nothing to tell
    directory.storeAnsweredPeer(clock.now());
    clock.advance(1s);
    directory.storeAnswered(clock.now());
    directory.remove(EngineName("a"), clock.now());
    CHECK(directory.find(EngineName("a")) != nullptr);
    clock.advance(1100ms);
    CHECK(directory.expire(clock.now()) == std::vector<EngineName> {EngineName("a")});
}

TEST_CASE("a peer's answer from before the outage doesn't shorten the time to return")
{
    VirtualClock clock;
    EngineDirectory directory;
    directory.storeAnswered(clock.now());
    directory.replace({engine("a")}, clock.now());
    for (unsigned n = 0; n < 5; ++n) {
        directory.storeAnsweredPeer(clock.now());
        clock.advance(1s);
    }
    directory.storeFailed(clock.now());
    clock.advance(1s);
    directory.storeAnswered(clock.now());
    directory.remove(EngineName("a"), clock.now());
    CHECK(directory.find(EngineName("a")) != nullptr);
}
