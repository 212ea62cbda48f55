#include "fairqueue.h"
#include "monsoonward/policy/factories.h"
#include "slotcontroller.h"

#include <algorithm>
#include <deque>
#include <map>
#include <unordered_map>

namespace monsoonward
{

namespace
{

constexpr std::size_t lookAhead = 16; // reservations of a tier that a scan looks at
constexpr Duration needMemory = std::chrono::seconds(10); // a tier without requests for this long needs no room
constexpr double needStep = 0.05; // weight of one reservation in a tier's typical need
constexpr double earlyPart = 0.5; // with more of the typical time left than this, a request waits for a safe engine
constexpr Duration changeMemory = std::chrono::milliseconds(450); // cache changes are repeated in heartbeats this long
constexpr std::size_t popularLimit = 65536; // blocks whose number of requests is remembered

/// Target policy that claims in the order of the fair queue whatever the slot controllers let through.
class LateBindingTarget : public TargetPolicy
{
public:
    LateBindingTarget(const TargetName &target, const ServiceName &service, const Clock &clock)
        : m_target(target)
        , m_service(service)
        , m_clock(clock)
    {
    }

    void configure(const std::vector<EngineSpec> &engines) override
    {
        std::map<EngineName, SlotController> next;
        for (const auto &it : engines) {
            const auto known = m_engines.find(it.name);
            auto added = known != m_engines.end() ? next.emplace(it.name, std::move(known->second))
                                                  : next.emplace(it.name, SlotController(m_clock, m_outputs));
            added.first->second.configure(it);
        }
        m_engines = std::move(next);
        m_scanAll = true;
    }

    void reserve(const Reservation &reservation) override
    {
        const auto &reserve = reservation.reserve;
        learnNeed(reserve);
        notePopular(reserve.prefixes);
        m_queue.push(reservation);
        m_fresh.push_back(reserve.id);
    }

    void withdraw(const RequestId &id) override
    {
        m_queue.erase(id);
    }

    void onEntryGone(const Peer &entry) override
    {
        for (const auto &it : m_queue.ofEntry(entry)) {
            m_queue.erase(it);
        }
    }

    std::optional<ClaimChoice> nextClaim() override
    {
        const auto needs = currentNeeds();
        SlotController *engine = nullptr;
        EngineName name;
        const auto accept = [&](const Reservation &it) {
            name = bestEngine(it, needs);
            return !name.empty();
        };
        const Reservation *found = nullptr;
        if (m_scanAll) {
            found = m_queue.findFirst(lookAhead, accept);
        } else {
            found = firstFresh(accept);
        }
        if (found == nullptr) {
            m_scanAll = false;
            m_fresh.clear();
            return std::nullopt;
        }
        engine = &m_engines.at(name);
        const auto id = found->reserve.id;
        const ClaimChoice choice {m_queue.take(id), name};
        engine->place(candidateOn(choice.reservation, *engine));
        m_placed.emplace(id, Placement {name, choice.reservation.reserve});
        return choice;
    }

    void onClaimReleased(const RequestId &id) override
    {
        if (auto *engine = engineOf(id)) {
            engine->onClaimReleased(id);
            m_placed.erase(id);
            m_scanAll = true;
        }
    }

    void onDispatched(const RequestId &id) override
    {
        if (auto *engine = engineOf(id)) {
            engine->onDispatched(id);
            const auto &prefixes = m_placed.at(id).reserve.prefixes;
            noteCached(*engine, prefixes);
            engine->cache().use(prefixes);
        }
    }

    void onFirstToken(const RequestId &id) override
    {
        if (auto *engine = engineOf(id)) {
            engine->onFirstToken(id);
            m_scanAll = true;
        }
    }

    void onTokens(const RequestId &id, std::uint32_t count) override
    {
        if (auto *engine = engineOf(id)) {
            engine->tokens(id, count);
        }
    }

    void onFinished(const RequestId &id, const RunStats &stats) override
    {
        auto *engine = engineOf(id);
        if (engine == nullptr) {
            return;
        }
        if (!stats.failed) {
            const auto &reserve = m_placed.at(id).reserve;
            m_outputs.learn(reserve.tier, reserve.customer, stats.outputTokens);
        }
        engine->onFinished(id, stats);
        m_placed.erase(id);
        m_scanAll = true;
    }

    void onEngineLoad(const EngineName & /*engine*/, std::uint32_t /*running*/, std::uint32_t /*waiting*/) override
    {
    }

    void onInheritedRequests(const EngineName &engine, std::uint32_t running) override
    {
        const auto it = m_engines.find(engine);
        if (it != m_engines.end()) {
            it->second.setFound(running);
            m_scanAll = true;
        }
    }

    void setEngineUp(const EngineName &engine, bool up) override
    {
        const auto it = m_engines.find(engine);
        if (it != m_engines.end()) {
            it->second.setUp(up);
            m_scanAll = true;
        }
    }

    void onCacheEvent(const EngineName &engine,
                      const std::vector<PrefixHash> &cached,
                      const std::vector<PrefixHash> &evicted) override
    {
        const auto it = m_engines.find(engine);
        if (it == m_engines.end()) {
            return;
        }
        noteCached(it->second, cached);
        it->second.cache().use(cached);
        for (const auto block : evicted) {
            it->second.cache().remove(block);
            if (isPopular(block)) {
                m_changes.push_back({m_clock.now(), block, false});
            }
        }
    }

    std::vector<ReservationDropped> tick() override
    {
        std::vector<ReservationDropped> dropped;
        for (const auto &it : m_queue.expired(m_clock.now())) {
            dropped.push_back({it, m_target, RefusalReason::Expired});
            m_queue.erase(it);
        }
        m_scanAll = true;
        return dropped;
    }

    TargetStatus status() override
    {
        TargetStatus status;
        status.target = m_target;
        status.service = m_service;
        for (const auto &[name, engine] : m_engines) {
            status.running += engine.running();
            status.freeSlots += engine.freeSlots();
            if (engine.isUp() && engine.speed().isKnown()) {
                const double prefill = engine.speed().prefillTokensPerSecond();
                const double decode = 1 / engine.speed().stepSeconds(1);
                status.prefillTokensPerSecond = std::max(status.prefillTokensPerSecond, prefill);
                status.decodeTokensPerSecond = std::max(status.decodeTokensPerSecond, decode);
            }
        }
        status.tiers = m_queue.loads();
        addChanges(status);
        return status;
    }

private:
    struct Placement
    {
        EngineName engine;
        Reserve reserve;
    };

    struct CacheChange
    {
        TimePoint at;
        PrefixHash block;
        bool cached;
    };

    template<class Accept>
    const Reservation *firstFresh(const Accept &accept)
    {
        while (!m_fresh.empty()) {
            const auto *it = m_queue.find(m_fresh.front());
            if (it != nullptr && accept(*it)) {
                return it;
            }
            m_fresh.pop_front();
        }
        return nullptr;
    }

    /// @return the engine that should finish the request first among those that may take it, or an empty name
    EngineName bestEngine(const Reservation &reservation, const std::vector<TierNeed> &needs) const
    {
        EngineName best;
        double bestSeconds = 0;
        for (const auto &[name, engine] : m_engines) {
            if (!engine.isUp()) {
                continue;
            }
            const auto candidate = candidateOn(reservation, engine);
            const double seconds = engine.secondsToFinish(candidate);
            if ((best.empty() || seconds < bestSeconds) && engine.fits(candidate, needs)) {
                best = name;
                bestSeconds = seconds;
            }
        }
        return best;
    }

    Candidate candidateOn(const Reservation &reservation, const SlotController &engine) const
    {
        const auto &reserve = reservation.reserve;
        const auto blocks = static_cast<std::uint32_t>(engine.cache().leading(reserve.prefixes));
        const auto cached = std::min(blocks * prefixBlockTokens, reserve.promptTokens);
        return {reserve, reservation.deadline, expectedOutput(reservation), cached};
    }

    double expectedOutput(const Reservation &reservation) const
    {
        const auto &reserve = reservation.reserve;
        if (reserve.outputTokens > 0) {
            return reserve.outputTokens;
        }
        const auto need = m_needs.find(reserve.tier);
        const double left = std::chrono::duration<double>(reservation.deadline - m_clock.now()).count();
        const bool early = need == m_needs.end() || left > need->second.seconds * earlyPart;
        return early ? m_outputs.high(reserve.tier, reserve.customer)
                     : m_outputs.typical(reserve.tier, reserve.customer);
    }

    void learnNeed(const Reserve &reserve)
    {
        auto [it, added] = m_needs.try_emplace(reserve.tier);
        auto &need = it->second;
        const double seconds = std::chrono::duration<double>(reserve.timeLeft).count();
        if (added) {
            need = {reserve.tier, static_cast<double>(reserve.promptTokens), 0, seconds, {}};
        }
        need.promptTokens += needStep * (reserve.promptTokens - need.promptTokens);
        need.seconds += needStep * (seconds - need.seconds);
        need.lastSeen = m_clock.now();
    }

    std::vector<TierNeed> currentNeeds() const
    {
        std::vector<TierNeed> needs;
        for (const auto &[tier, need] : m_needs) {
            if (m_clock.now() - need.lastSeen <= needMemory) {
                needs.push_back(need);
                needs.back().outputTokens = m_outputs.high(tier, {});
            }
        }
        return needs;
    }

    void notePopular(const std::vector<PrefixHash> &blocks)
    {
        for (const auto it : blocks) {
            if (m_seen.holds(it)) {
                m_popular.add(it);
            }
        }
        m_seen.use(blocks);
    }

    bool isPopular(PrefixHash block) const
    {
        return m_popular.holds(block);
    }

    void noteCached(const SlotController &engine, const std::vector<PrefixHash> &blocks)
    {
        for (const auto it : blocks) {
            if (isPopular(it) && !engine.cache().holds(it)) {
                m_changes.push_back({m_clock.now(), it, true});
            }
        }
    }

    void addChanges(TargetStatus &status)
    {
        const auto now = m_clock.now();
        while (!m_changes.empty() && now - m_changes.front().at > changeMemory) {
            m_changes.pop_front();
        }
        std::map<PrefixHash, bool> last;
        for (const auto &it : m_changes) {
            last[it.block] = it.cached;
        }
        for (const auto &[block, cached] : last) {
            (cached ? status.cachedPrefixes : status.evictedPrefixes).push_back(block);
        }
    }

    SlotController *engineOf(const RequestId &id)
    {
        const auto placed = m_placed.find(id);
        if (placed == m_placed.end()) {
            return nullptr;
        }
        const auto it = m_engines.find(placed->second.engine);
        return it == m_engines.end() ? nullptr : &it->second;
    }

    TargetName m_target;
    ServiceName m_service;
    const Clock &m_clock;
    OutputEstimator m_outputs;
    std::map<EngineName, SlotController> m_engines;
    FairQueue m_queue;
    std::unordered_map<RequestId, Placement> m_placed;
    std::map<Tier, TierNeed> m_needs;
    std::deque<RequestId> m_fresh; // reserved since the last scan that found nothing
    bool m_scanAll = true; // something changed that may let an older reservation through
    PrefixIndex m_seen {popularLimit};
    PrefixIndex m_popular {popularLimit};
    std::deque<CacheChange> m_changes;
};

} // namespace

std::unique_ptr<TargetPolicy>
makeTargetPolicy(const TargetName &target, const ServiceName &service, const Clock &clock, EventLog & /*events*/)
{
    return std::make_unique<LateBindingTarget>(target, service, clock);
}

} // namespace monsoonward
