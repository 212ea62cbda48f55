#include "tiergate.h"

#include <doctest/doctest.h>

#include <memory>
#include <set>

using namespace monsoonward;

namespace
{

constexpr unsigned lowestTier = 3;
constexpr Duration tickInterval = std::chrono::milliseconds(50);

struct InFlightMessage
{
    Peer from;
    Peer to;
    TimePoint due;
    Message message;
};

/// An entry with its gate and the tiers that have waiting requests.
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
    std::vector<InFlightMessage> outbox;
};

/// Simulates several entries that crash, pause and restart, and a network that loses and delays messages.
class Cluster
{
public:
    explicit Cluster(std::uint64_t seed, std::size_t entries)
        : m_random(seed)
    {
        for (std::size_t n = 0; n < entries; ++n) {
            m_entries.push_back(std::make_unique<GateEntry>());
            start(*m_entries.back(), n);
        }
    }

    /// Simulates 10 ms.
    /// @param faults whether messages are lost or delayed and entries pause, crash and restart
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
                simulateLoad(it);
                send(it, faults);
            }
        }
    }

    bool tryShed(std::size_t entry, unsigned tier)
    {
        auto &it = *m_entries[entry];
        it.gate->requestShedding(Tier(tier));
        return it.gate->mayShed(Tier(tier));
    }

    unsigned violations = 0;
    unsigned higherTierSheds = 0; // sheds of a tier above the lowest

private:
    void start(GateEntry &it, std::size_t n)
    {
        it.own = {HostName("entry-" + std::to_string(n)), makeIncarnation(m_random)};
        it.gate = std::make_unique<TierGate>(ServiceName("s"), m_clock, it, it.events);
        it.gate->setLowestTier(Tier(lowestTier));
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

    /// Lets random requests arrive, be placed, and have to be shed because of the load.
    void simulateLoad(GateEntry &it)
    {
        const auto tier = static_cast<unsigned>(m_random.nextBelow(lowestTier + 1));
        if (it.gate->stateOf(Tier(tier)) == TierState::Open) {
            it.waiting.insert(tier);
        }
        if (m_random.nextBelow(20) == 0) {
            it.waiting.erase(tier); // placed
        }
        if (m_random.nextBelow(10) == 0) {
            it.gate->requestShedding(Tier(tier));
            if (it.gate->mayShed(Tier(tier))) {
                shed(it, tier);
            }
        }
        if (m_clock.now().time_since_epoch() % tickInterval < std::chrono::milliseconds(10)) {
            it.gate->tick([&](Tier closed) { shed(it, closed.level()); });
        }
    }

    /// Sheds a tier and counts a violation for each lower tier that is open or waits at any entry.
    void shed(GateEntry &it, unsigned tier)
    {
        it.waiting.erase(tier);
        higherTierSheds += tier < lowestTier ? 1 : 0;
        for (const auto &other : m_entries) {
            for (unsigned lower = tier + 1; other->up && lower <= lowestTier; ++lower) {
                const bool open = other->gate->stateOf(Tier(lower)) == TierState::Open;
                violations += open || other->waiting.count(lower) != 0 ? 1 : 0;
            }
        }
    }

    void send(GateEntry &it, bool faults)
    {
        for (auto &inFlight : it.outbox) {
            const bool lost = faults && m_random.nextBelow(10) == 0;
            const bool late = faults && m_random.nextBelow(10) == 0;
            inFlight.due = m_clock.now() + std::chrono::milliseconds(late ? m_random.nextBelow(2000) : 5);
            if (!lost) {
                m_inFlight.push_back(inFlight);
            }
        }
        it.outbox.clear();
    }

    void deliver()
    {
        std::vector<InFlightMessage> remaining;
        for (const auto &inFlight : m_inFlight) {
            auto *to = findReceiver(inFlight);
            if (to != nullptr && (inFlight.due > m_clock.now() || to->pausedUntil > m_clock.now())) {
                remaining.push_back(inFlight);
            } else if (to != nullptr) {
                receive(*to, inFlight);
            }
        }
        m_inFlight = remaining;
    }

    GateEntry *findReceiver(const InFlightMessage &inFlight)
    {
        for (auto &it : m_entries) {
            if (it->up && it->own == inFlight.to) {
                return it.get();
            }
        }
        return nullptr;
    }

    static void receive(GateEntry &to, const InFlightMessage &inFlight)
    {
        if (const auto *closeTiers = std::get_if<CloseTiers>(&inFlight.message)) {
            to.gate->onCloseTiers(inFlight.from, *closeTiers);
        } else if (const auto *tiersClosed = std::get_if<TiersClosed>(&inFlight.message)) {
            to.gate->onTiersClosed(inFlight.from, *tiersClosed);
        }
    }

    SeededRandom m_random;
    VirtualClock m_clock;
    std::vector<std::unique_ptr<GateEntry>> m_entries;
    std::vector<InFlightMessage> m_inFlight;
};

} // namespace

TEST_CASE("the lowest tier may always be shed, a higher one only after all entries have closed the lower tiers")
{
    Cluster cluster(1, 3);
    CHECK(cluster.tryShed(0, lowestTier));
    CHECK_FALSE(cluster.tryShed(0, 0));
    bool shed = false;
    for (int n = 0; n < 100 && !shed; ++n) {
        cluster.step(false);
        shed = cluster.tryShed(0, 0);
    }
    CHECK(shed);
    CHECK(cluster.violations == 0);
}

TEST_CASE("a single entry needs no confirmation")
{
    Cluster cluster(1, 1);
    bool shed = false;
    for (int n = 0; n < 20 && !shed; ++n) {
        cluster.step(false);
        shed = cluster.tryShed(0, 0);
    }
    CHECK(shed);
}

TEST_CASE("no tier is shed while a lower one is admitted, despite crashes, pauses and lost messages")
{
    unsigned higherTierSheds = 0;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        Cluster cluster(seed, 2 + seed % 4);
        for (int n = 0; n < 2000; ++n) {
            cluster.step(true);
        }
        CAPTURE(seed);
        CHECK(cluster.violations == 0);
        higherTierSheds += cluster.higherTierSheds;
    }
    CHECK(higherTierSheds > 1000);
}
