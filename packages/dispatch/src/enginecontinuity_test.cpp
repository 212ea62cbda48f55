#include "monsoonward/dispatch/dispatch.h"

#include <doctest/doctest.h>

using namespace monsoonward;
using namespace std::chrono_literals;

namespace
{

const EngineName name("e");

EngineRecord engineOf(std::uint64_t incarnation)
{
    EngineRecord it;
    it.name = name;
    it.incarnation = incarnation;
    return it;
}

} // namespace

TEST_CASE("an engine is connected from its first open connection until it ends one or all are closed")
{
    VirtualClock clock;
    EngineContinuity continuity;
    CHECK_FALSE(continuity.connectedSince(name));
    auto first = continuity.connectionOpened(name, clock.now());
    const auto startedAt = clock.now();
    clock.advance(1s);
    auto second = continuity.connectionOpened(name, clock.now());
    first.reset();
    CHECK(continuity.connectedSince(name) == startedAt); // the second one was opened while the first one was open
    second.reset();
    CHECK_FALSE(continuity.connectedSince(name));
    first = continuity.connectionOpened(name, clock.now());
    second = continuity.connectionOpened(name, clock.now());
    continuity.connectionEnded(name);
    CHECK_FALSE(continuity.connectedSince(name)); // the others may end later
    const auto third = continuity.connectionOpened(name, clock.now());
    CHECK(continuity.connectedSince(name) == clock.now());
}

// Streams that began at an engine that had started again while the store was away went on at its former version.
TEST_CASE("while registrations can't be read, only a run that was connected before has a certain version")
{
    VirtualClock clock;
    EngineDirectory directory;
    directory.storeAnswered(clock.now());
    directory.put(engineOf(1));
    const auto connectedAt = clock.now();
    while (clock.now() < connectedAt + EngineDirectory::registrationDelay) {
        clock.advance(1s);
        directory.storeReachable(clock.now());
    }
    CHECK(directory.isVersionCertain(std::nullopt, clock.now()));
    const auto reachableUntil = clock.now();
    directory.storeFailed();
    directory.storeReachable(clock.now()); // another table can be read
    clock.advance(1s);
    CHECK(directory.isVersionCertain(connectedAt, clock.now()));
    CHECK_FALSE(directory.isVersionCertain(connectedAt + 1ms, clock.now()));
    CHECK_FALSE(directory.isVersionCertain(reachableUntil, clock.now()));
    CHECK_FALSE(directory.isVersionCertain(std::nullopt, clock.now()));
    directory.storeAnswered(clock.now()); // engines register again within a time
    CHECK_FALSE(directory.isVersionCertain(std::nullopt, clock.now()));
    CHECK(directory.isVersionCertain(connectedAt, clock.now()));
    clock.advance(EngineDirectory::reregistrationTimeout);
    CHECK(directory.isVersionCertain(std::nullopt, clock.now()));
}

// A gateway that had stood still continued streams at engines that had started again meanwhile.
TEST_CASE("after a silence, versions are certain again once registrations from after it have been read")
{
    VirtualClock clock;
    EngineDirectory directory;
    directory.storeAnswered(clock.now());
    directory.put(engineOf(1));
    clock.advance(EngineDirectory::maxSilence);
    CHECK(directory.isVersionCertain(std::nullopt, clock.now()));
    clock.advance(1ms);
    CHECK_FALSE(directory.isVersionCertain(std::nullopt, clock.now())); // nothing tells it apart from a cut
    directory.storeReachable(clock.now());
    CHECK(directory.mayHaveMissed());
    CHECK_FALSE(directory.isVersionCertain(std::nullopt, clock.now()));
    directory.registrationsRead(clock.now() - 1ms); // an answer that waited in a buffer
    CHECK_FALSE(directory.isVersionCertain(std::nullopt, clock.now()));
    directory.registrationsRead(clock.now());
    CHECK(directory.isVersionCertain(std::nullopt, clock.now()));
    CHECK_FALSE(directory.mayHaveMissed());
}

TEST_CASE("versions aren't certain while another daemon has read a newer registration for some time")
{
    VirtualClock clock;
    EngineDirectory directory;
    directory.storeAnswered(clock.now());
    directory.put(engineOf(1));
    directory.setBehind(clock.now());
    clock.advance(EngineDirectory::maxLag);
    CHECK(directory.isVersionCertain(std::nullopt, clock.now()));
    clock.advance(1ms);
    directory.storeReachable(clock.now()); // another table can be read
    CHECK_FALSE(directory.isVersionCertain(std::nullopt, clock.now()));
    directory.setBehind(std::nullopt);
    CHECK(directory.isVersionCertain(std::nullopt, clock.now()));
}

TEST_CASE("a store that came back from a copy has no certain versions until engines have registered again")
{
    VirtualClock clock;
    EngineDirectory directory;
    directory.storeAnswered(clock.now());
    directory.replace({engineOf(1)}, clock.now());
    directory.replaceAfterRestore({engineOf(1)}, clock.now());
    CHECK_FALSE(directory.isVersionCertain(std::nullopt, clock.now()));
    clock.advance(EngineDirectory::reregistrationTimeout);
    CHECK(directory.isVersionCertain(std::nullopt, clock.now()));
}
