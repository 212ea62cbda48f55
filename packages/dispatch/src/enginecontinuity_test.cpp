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
    continuity.connectionEnded(name, clock.now());
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
    directory.storeFailed(clock.now());
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

// An engine that resets a single connection counted as one that may have started again.
TEST_CASE("bytes on a connection that was open before show that the same run goes on")
{
    VirtualClock clock;
    EngineContinuity continuity;
    const auto first = continuity.connectionOpened(name, clock.now());
    const auto startedAt = clock.now();
    clock.advance(1s);
    continuity.connectionEnded(name, clock.now());
    continuity.bytesReceived(name, first, clock.now() + EngineContinuity::deliveryTime - 1ms);
    CHECK_FALSE(continuity.connectedSince(name)); // they may have been sent before
    CHECK(continuity.mayHaveStartedAgain(name, clock.now()));
    const auto later = continuity.connectionOpened(name, clock.now());
    continuity.bytesReceived(name, later, clock.now() + EngineContinuity::deliveryTime);
    CHECK(continuity.mayHaveStartedAgain(name, clock.now()));
    continuity.bytesReceived(name, first, clock.now() + EngineContinuity::deliveryTime);
    CHECK(continuity.connectedSince(name) == startedAt);
    CHECK_FALSE(continuity.mayHaveStartedAgain(name, clock.now()));
}

TEST_CASE("a run that follows the end of a connection is registered some time later, others at once")
{
    VirtualClock clock;
    EngineContinuity continuity;
    CHECK(continuity.connectionOpened(name, clock.now())->registeredBy == clock.now());
    continuity.connectionEnded(name, clock.now());
    const auto endedAt = clock.now();
    clock.advance(1s);
    CHECK(continuity.connectionOpened(name, clock.now())->registeredBy == endedAt + EngineDirectory::registrationDelay);
    CHECK(continuity.mayHaveStartedAgain(name, endedAt + EngineDirectory::registrationDelay - 1ms));
    CHECK_FALSE(continuity.mayHaveStartedAgain(name, endedAt + EngineDirectory::registrationDelay));
    continuity.forget(name);
    CHECK_FALSE(continuity.mayHaveStartedAgain(name, std::nullopt));
}

TEST_CASE("a run is registered once registrations from its time name it")
{
    VirtualClock clock;
    EngineDirectory directory;
    directory.storeAnswered(clock.now());
    directory.put(engineOf(1));
    CHECK_FALSE(directory.isRunRegistered(engineOf(1), clock.now()));
    directory.registrationsRead(clock.now());
    CHECK(directory.isRunRegistered(engineOf(1), clock.now()));
    CHECK_FALSE(directory.isRunRegistered(engineOf(2), clock.now()));
    CHECK_FALSE(directory.isRunRegistered(engineOf(1), clock.now() + 1ms));
    auto changed = engineOf(1);
    changed.softwareVersion = "v2";
    CHECK_FALSE(directory.isRunRegistered(changed, clock.now()));
    CHECK(directory.isCurrent(clock.now() + EngineDirectory::maxReadingAge));
    CHECK_FALSE(directory.isCurrent(clock.now() + EngineDirectory::maxReadingAge + 1ms));
}
