#include "slotcontroller.h"

#include <doctest/doctest.h>

using namespace monsoonward;

namespace
{

struct Fixture
{
    VirtualClock clock;
    OutputLengthEstimator outputs;
    SlotController slots {clock, outputs};
    std::vector<Reserve> reserves;

    Fixture()
    {
        reserves.reserve(64);
        EngineSpec spec;
        spec.maxBatch = 32;
        spec.cacheTokens = 100000;
        slots.configure(spec);
        outputs.recordOutput(Tier(0), {}, 50);
        outputs.recordOutput(Tier(2), {}, 50);
    }

    Candidate candidate(unsigned tier, std::uint32_t promptTokens, int seconds)
    {
        auto &it = reserves.emplace_back();
        it.id = {{1, 1}, reserves.size()};
        it.tier = Tier(tier);
        it.promptTokens = promptTokens;
        return {it, clock.now() + std::chrono::seconds(seconds), 50, 0};
    }

    /// Runs one request to measure the engine's speed: 10 ms between tokens, 10000 prompt tokens per second.
    void calibrate()
    {
        const auto it = candidate(2, 1000, 100);
        slots.place(it);
        slots.onDispatched(it.reserve.id);
        clock.advance(std::chrono::milliseconds(100));
        slots.onFirstToken(it.reserve.id);
        for (int n = 0; n < 50; ++n) {
            clock.advance(std::chrono::milliseconds(10));
            slots.onTokens(it.reserve.id, 1);
        }
        slots.onFinished(it.reserve.id, {1000, 0, 50, {}, {}, false});
    }

    /// @return how many requests were placed until one was rejected
    int fill(unsigned tier, int seconds, const std::vector<TierProfile> &profiles)
    {
        int n = 0;
        while (n < 60) {
            const auto it = candidate(tier, 10, seconds);
            if (!slots.canPlace(it, profiles)) {
                break;
            }
            slots.place(it);
            ++n;
        }
        return n;
    }
};

} // namespace

TEST_CASE("an engine of unknown speed gets only a few requests")
{
    Fixture it;
    CHECK(it.fill(2, 1000, {}) == 4);
}

TEST_CASE("requests of a low tier fill an engine unless a higher tier needs headroom")
{
    Fixture lowTierOnly;
    lowTierOnly.calibrate();
    CHECK(lowTierOnly.fill(2, 1000, {}) == 32);
    Fixture withHigherTier;
    withHigherTier.calibrate();
    const TierProfile higherTier {Tier(0), 10, 50, 1.0, withHigherTier.clock.now()};
    CHECK(withHigherTier.fill(2, 1000, {higherTier}) < 16);
}

TEST_CASE("a request that can't finish before its deadline is not placed")
{
    Fixture it;
    it.calibrate();
    CHECK(it.slots.canPlace(it.candidate(0, 5000, 2), {}));
    CHECK_FALSE(it.slots.canPlace(it.candidate(0, 50000, 2), {}));
}

TEST_CASE("a slot is freed when the claim is released or the engine fails")
{
    Fixture it;
    const auto candidate = it.candidate(0, 100, 10);
    it.slots.place(candidate);
    CHECK(it.slots.running() == 1);
    it.slots.onClaimReleased(candidate.reserve.id);
    CHECK(it.slots.running() == 0);
    it.slots.place(candidate);
    RunStats failed;
    failed.failed = true;
    it.slots.onFinished(candidate.reserve.id, failed);
    CHECK(it.slots.running() == 0);
    CHECK(it.slots.prefillBacklogSeconds() == 0);
}

TEST_CASE("a service that reports no tokens gets all slots and no deadline estimates")
{
    Fixture it;
    for (int n = 0; n < 4; ++n) {
        const auto candidate = it.candidate(2, 0, 1);
        REQUIRE(it.slots.canPlace(candidate, {}));
        it.slots.place(candidate);
        it.slots.onFinished(candidate.reserve.id, {});
    }
    CHECK(it.fill(2, 1, {}) == 32);
}
