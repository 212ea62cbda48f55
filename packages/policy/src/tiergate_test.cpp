#include "tiergate.h"

#include <doctest/doctest.h>

#include <memory>
#include <set>

using namespace monsoonward;

namespace
{

constexpr unsigned lowestTier = 3;
constexpr Duration tickInterval = std::chrono::milliseconds(50);

struct Parcel
{
    Peer from;
    Peer to;
    TimePoint due;
    Message message;
};

/// One entry: its gate and the tiers of which requests wait.
struct GateEntry : EntryPolicyOutput
{
    void sendToEntry(const Peer &to, const Message &message) override
    {
        outbox.push_back({own, to, {}, message});
    }

    Peer own;
    bool up = false;
    TimePoint pausedUntil {};
    NullEventLog events;
    std::unique_ptr<TierGate> gate;
    std::set<unsigned> waiting;
    std::vector<Parcel> outbox;
};

/// Some entries with deaths, pauses, lost and late messages.
class GateWorld
{
public:
    explicit GateWorld(std::uint64_t seed, std::size_t entries)
        : m_random(seed)
    {
        for (std::size_t n = 0; n < entries; ++n) {
            m_entries.push_back(std::make_unique<GateEntry>());
            start(*m_entries.back(), n);
        }
    }

    /// Runs one interval. @p faults: messages get lost or late, entries pause, die and come back.
    void step(bool faults)
    {
        m_clock.advance(std::chrono::milliseconds(10));
        deliver();
        for (std::size_t n = 0; n < m_entries.size(); ++n) {
            auto &it = *m_entries[n];
            if (faults && m_random.nextBelow(400) == 0) {
                it.pausedUntil = m_clock.now() + std::chrono::milliseconds(m_random.nextBelow(2500));
            }
            if (faults && m_random.nextBelow(1000) == 0) {
                it.up ? stop(it) : start(it, n);
            }
            if (it.up && it.pausedUntil <= m_clock.now()) {
                act(it);
                post(it, faults);
            }
        }
    }

    bool shedNow(std::size_t entry, unsigned tier)
    {
        auto &it = *m_entries[entry];
        it.gate->needShed(Tier(tier));
        return it.gate->mayShed(Tier(tier));
    }

    unsigned violations = 0;
    unsigned shedHigher = 0; // sheds of a tier above the lowest

private:
    void start(GateEntry &it, std::size_t n)
    {
        it.own = {HostName("entry-" + std::to_string(n)), makeIncarnation(m_random)};
        it.gate = std::make_unique<TierGate>(ServiceName("s"), m_clock, it, it.events);
        it.gate->setLowest(Tier(lowestTier));
        it.waiting.clear();
        it.outbox.clear();
        it.pausedUntil = {};
        it.up = true;
        for (auto &other : m_entries) {
            if (other.get() != &it && other->up) {
                it.gate->onEntryUp(other->own);
                other->gate->onEntryUp(it.own);
            }
        }
    }

    void stop(GateEntry &it)
    {
        it.up = false;
        for (auto &other : m_entries) {
            if (other->up) {
                other->gate->onEntryDown(it.own);
            }
        }
    }

    /// Some arrivals, some requests that load leaves no way for.
    void act(GateEntry &it)
    {
        const auto tier = static_cast<unsigned>(m_random.nextBelow(lowestTier + 1));
        if (it.gate->standing(Tier(tier)) == TierStanding::Open) {
            it.waiting.insert(tier);
        }
        if (m_random.nextBelow(20) == 0) {
            it.waiting.erase(tier); // placed
        }
        if (m_random.nextBelow(10) == 0) {
            it.gate->needShed(Tier(tier));
            if (it.gate->mayShed(Tier(tier))) {
                shed(it, tier);
            }
        }
        if (m_clock.now().time_since_epoch() % tickInterval < std::chrono::milliseconds(10)) {
            it.gate->tick([&](Tier closed) { shed(it, closed.level()); });
        }
    }

    void shed(GateEntry &it, unsigned tier)
    {
        it.waiting.erase(tier);
        shedHigher += tier < lowestTier ? 1 : 0;
        for (const auto &other : m_entries) {
            for (unsigned lower = tier + 1; other->up && lower <= lowestTier; ++lower) {
                const bool open = other->gate->standing(Tier(lower)) == TierStanding::Open;
                violations += open || other->waiting.count(lower) != 0 ? 1 : 0;
            }
        }
    }

    void post(GateEntry &it, bool faults)
    {
        for (auto &parcel : it.outbox) {
            const bool lost = faults && m_random.nextBelow(10) == 0;
            const bool late = faults && m_random.nextBelow(10) == 0;
            parcel.due = m_clock.now() + std::chrono::milliseconds(late ? m_random.nextBelow(2000) : 5);
            if (!lost) {
                m_flying.push_back(parcel);
            }
        }
        it.outbox.clear();
    }

    void deliver()
    {
        std::vector<Parcel> rest;
        for (const auto &parcel : m_flying) {
            auto *to = receiver(parcel);
            if (to != nullptr && (parcel.due > m_clock.now() || to->pausedUntil > m_clock.now())) {
                rest.push_back(parcel);
            } else if (to != nullptr) {
                receive(*to, parcel);
            }
        }
        m_flying = rest;
    }

    GateEntry *receiver(const Parcel &parcel)
    {
        for (auto &it : m_entries) {
            if (it->up && it->own == parcel.to) {
                return it.get();
            }
        }
        return nullptr;
    }

    static void receive(GateEntry &to, const Parcel &parcel)
    {
        if (const auto *ask = std::get_if<CloseTiers>(&parcel.message)) {
            to.gate->closeAsked(parcel.from, *ask);
        } else if (const auto *answer = std::get_if<TiersClosed>(&parcel.message)) {
            to.gate->closedAnswered(parcel.from, *answer);
        }
    }

    SeededRandom m_random;
    VirtualClock m_clock;
    std::vector<std::unique_ptr<GateEntry>> m_entries;
    std::vector<Parcel> m_flying;
};

} // namespace

TEST_CASE("the lowest tier may always be shed, a higher one only after all have closed what is below")
{
    GateWorld world(1, 3);
    CHECK(world.shedNow(0, lowestTier));
    CHECK_FALSE(world.shedNow(0, 0));
    bool shed = false;
    for (int n = 0; n < 100 && !shed; ++n) {
        world.step(false);
        shed = world.shedNow(0, 0);
    }
    CHECK(shed);
    CHECK(world.violations == 0);
}

TEST_CASE("a lone entry needs nobody's word")
{
    GateWorld world(1, 1);
    bool shed = false;
    for (int n = 0; n < 20 && !shed; ++n) {
        world.step(false);
        shed = world.shedNow(0, 0);
    }
    CHECK(shed);
}

TEST_CASE("no tier is shed while a lower one is admitted, whatever dies, pauses or gets lost")
{
    unsigned shedHigher = 0;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        GateWorld world(seed, 2 + seed % 4);
        for (int n = 0; n < 2000; ++n) {
            world.step(true);
        }
        CAPTURE(seed);
        CHECK(world.violations == 0);
        shedHigher += world.shedHigher;
    }
    CHECK(shedHigher > 1000);
}
