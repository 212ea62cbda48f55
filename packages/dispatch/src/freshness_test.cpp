#include "monsoonward/dispatch/dispatch.h"

#include <doctest/doctest.h>

using namespace monsoonward;
using namespace std::chrono_literals;

TEST_CASE("keys and denials have separate maximum ages")
{
    VirtualClock clock;
    Freshness freshness({4700ms, 2500ms});
    CHECK_FALSE(freshness.mayAcceptKeys(clock.now()));
    CHECK_FALSE(freshness.age(clock.now()));
    freshness.recordProof(clock.now());
    clock.advance(2400ms);
    CHECK(freshness.mayDeny(clock.now()));
    clock.advance(200ms);
    CHECK_FALSE(freshness.mayDeny(clock.now()));
    CHECK(freshness.mayAcceptKeys(clock.now()));
    clock.advance(6s); // suspended
    CHECK_FALSE(freshness.mayAcceptKeys(clock.now()));
}

TEST_CASE("the age of a proof counts from the start of its call, and an older proof has no effect")
{
    VirtualClock clock;
    Freshness freshness({4700ms, 2500ms});
    const auto early = clock.now();
    clock.advance(1s);
    freshness.recordProof(clock.now());
    freshness.recordProof(early);
    clock.advance(4s);
    CHECK(freshness.age(clock.now()) == Duration(4s));
    CHECK(freshness.mayAcceptKeys(clock.now()));
}

TEST_CASE("a restored store proves nothing until lost changes have been written again")
{
    VirtualClock clock;
    Freshness freshness({4700ms, 2500ms});
    freshness.recordProof(clock.now());
    clock.advance(1s);
    freshness.storeRestored(clock.now());
    freshness.recordProof(clock.now());
    CHECK(freshness.age(clock.now()) == 1s);
    CHECK(freshness.isSettling(clock.now()));
    clock.advance(Freshness::restoreSettleTime);
    CHECK_FALSE(freshness.isSettling(clock.now()));
    CHECK(freshness.mayAcceptKeys(clock.now()));
    freshness.recordProof(clock.now() - 1ms);
    CHECK(freshness.age(clock.now()) == 3s);
    freshness.recordProof(clock.now());
    CHECK(freshness.age(clock.now()) == 0s);
}

TEST_CASE("proofs are renewed by one daemon, by the next one if it fails, and by all before requests are refused")
{
    const FreshnessLimits limits {4700ms, 2500ms};
    for (std::size_t rank = 0; rank < 3; ++rank) {
        CHECK(proofAgeToRenew(limits, rank + 1, 0) - proofAgeToRenew(limits, rank, 0) >= 500ms);
    }
    CHECK(proofAgeToRenew(limits, 0, 1) < limits.maxAgeForDenials / 2);
    CHECK(proofAgeToRenew(limits, 1000, 1) < limits.maxAgeForKeys - 1s);
    CHECK(proofAgeToRenew(limits, 1000, 1) > proofAgeToRenew(limits, 1000, 0));
    const FreshnessLimits strict {700ms, 2500ms};
    CHECK(proofAgeToRenew(strict, 1000, 1) < strict.maxAgeForKeys);
}

// Routes that need no key were served by a configuration of any age.
TEST_CASE("a daemon that knows of a newer configuration serves by the old one for a limited time only")
{
    VirtualClock clock;
    FreshnessLimits limits;
    limits.maxAgeWhenBehind = 3700ms;
    Freshness freshness(limits);
    freshness.recordProof(clock.now());
    clock.advance(10s); // the store is away
    CHECK(freshness.mayServe(clock.now()));
    freshness.newerExists(clock.now());
    clock.advance(Freshness::readingTime - 1ms);
    freshness.newerExists(clock.now());
    CHECK(freshness.mayServe(clock.now()));
    clock.advance(1ms);
    CHECK_FALSE(freshness.mayServe(clock.now()));
    freshness.newestAdopted();
    CHECK(freshness.mayServe(clock.now()));
    CHECK_FALSE(freshness.behindSince());
}

TEST_CASE("the time for which an old configuration serves counts from the last proof")
{
    VirtualClock clock;
    FreshnessLimits limits;
    limits.maxAgeWhenBehind = 3700ms;
    Freshness freshness(limits);
    freshness.recordProof(clock.now());
    clock.advance(2s);
    freshness.newerExists(clock.now());
    clock.advance(1699ms);
    CHECK(freshness.mayServe(clock.now()));
    clock.advance(1ms);
    CHECK_FALSE(freshness.mayServe(clock.now()));
}

TEST_CASE("without a limit, a daemon serves by an old configuration as before")
{
    VirtualClock clock;
    Freshness freshness({4700ms, 2500ms});
    freshness.newerExists(clock.now());
    clock.advance(10s);
    CHECK(freshness.mayServe(clock.now()));
}
