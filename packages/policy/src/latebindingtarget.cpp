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

constexpr std::size_t maxScanPerTier = 16; // reservations of a tier that one scan looks at
constexpr Duration profileMaxAge = std::chrono::seconds(10); // a tier without requests for this long needs no headroom
constexpr double profileSmoothing = 0.05; // weight of a new reservation in the typical request of its tier

// While more than this share of the tier's typical time is left, a request waits for an engine that would finish it in
// time even if its output is long.
constexpr double conservativeShare = 0.5;

constexpr Duration cacheChangeRetention = std::chrono::milliseconds(450); // heartbeats repeat a change for this long
constexpr std::size_t maxRecordedBlocks = 65536; // in each of the indexes of seen and of shared blocks

/// Target policy with late binding: claims reservations in the order of the fair queue as soon as the slot controller
/// of an engine can place them.
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
                                                  : next.emplace(it.name, SlotController(m_clock, m_outputLengths));
            added.first->second.configure(it);
        }
        m_engines = std::move(next);
        m_rescanAll = true;
    }

    void reserve(const Reservation &reservation) override
    {
        const auto &reserve = reservation.reserve;
        updateProfile(reserve);
        recordPrefixes(reserve.prefixes);
        m_queue.push(reservation);
        m_unscanned.push_back(reserve.id);
    }

    void withdraw(const RequestId &id) override
    {
        m_queue.erase(id);
    }

    void onEntryGone(const Peer &entry) override
    {
        for (const auto &it : m_queue.reservedBy(entry)) {
            m_queue.erase(it);
        }
    }

    std::optional<ClaimChoice> nextClaim() override
    {
        const auto profiles = activeProfiles();
        SlotController *engine = nullptr;
        EngineName name;
        const auto accept = [&](const Reservation &it) {
            name = bestEngine(it, profiles);
            return !name.empty();
        };
        const Reservation *found = nullptr;
        if (m_rescanAll) {
            found = m_queue.findFirst(maxScanPerTier, accept);
        } else {
            found = findFirstUnscanned(accept);
        }
        if (found == nullptr) {
            m_rescanAll = false;
            m_unscanned.clear();
            return std::nullopt;
        }
        engine = &m_engines.at(name);
        const auto id = found->reserve.id;
        const ClaimChoice choice {m_queue.take(id), name};
        engine->place(candidateFor(choice.reservation, *engine));
        m_placed.emplace(id, PlacedRequest {name, choice.reservation.reserve});
        return choice;
    }

    void onClaimReleased(const RequestId &id) override
    {
        if (auto *engine = engineRunning(id)) {
            engine->onClaimReleased(id);
            m_placed.erase(id);
            m_rescanAll = true;
        }
    }

    void onDispatched(const RequestId &id) override
    {
        if (auto *engine = engineRunning(id)) {
            engine->onDispatched(id);
            const auto &prefixes = m_placed.at(id).reserve.prefixes;
            recordNewlyCached(*engine, prefixes);
            engine->cache().markUsed(prefixes);
        }
    }

    void onFirstToken(const RequestId &id) override
    {
        if (auto *engine = engineRunning(id)) {
            engine->onFirstToken(id);
            m_rescanAll = true;
        }
    }

    void onTokens(const RequestId &id, std::uint32_t count) override
    {
        if (auto *engine = engineRunning(id)) {
            engine->onTokens(id, count);
        }
    }

    void onFinished(const RequestId &id, const RunStats &stats) override
    {
        auto *engine = engineRunning(id);
        if (engine == nullptr) {
            return;
        }
        if (!stats.failed) {
            const auto &reserve = m_placed.at(id).reserve;
            m_outputLengths.recordOutput(reserve.tier, reserve.customer, stats.outputTokens);
        }
        engine->onFinished(id, stats);
        m_placed.erase(id);
        m_rescanAll = true;
    }

    /// Ignored; the slot controllers count the placed requests themselves.
    void onEngineLoad(const EngineName & /*engine*/, std::uint32_t /*running*/, std::uint32_t /*waiting*/) override
    {
    }

    void onInheritedRequests(const EngineName &engine, std::uint32_t running) override
    {
        const auto it = m_engines.find(engine);
        if (it != m_engines.end()) {
            it->second.setInheritedRequests(running);
            m_rescanAll = true;
        }
    }

    void setEngineUp(const EngineName &engine, bool up) override
    {
        const auto it = m_engines.find(engine);
        if (it != m_engines.end()) {
            it->second.setAvailable(up);
            m_rescanAll = true;
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
        recordNewlyCached(it->second, cached);
        it->second.cache().markUsed(cached);
        for (const auto block : evicted) {
            it->second.cache().remove(block);
            if (isShared(block)) {
                m_cacheChanges.push_back({m_clock.now(), block, false});
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
        m_rescanAll = true;
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
            if (engine.isAvailable() && engine.speed().isCalibrated()) {
                const double prefill = engine.speed().prefillTokensPerSecond();
                const double decode = 1 / engine.speed().decodeStepSeconds(1);
                status.prefillTokensPerSecond = std::max(status.prefillTokensPerSecond, prefill);
                status.decodeTokensPerSecond = std::max(status.decodeTokensPerSecond, decode);
            }
        }
        status.tiers = m_queue.tierLoads();
        addCacheChanges(status);
        return status;
    }

private:
    struct PlacedRequest
    {
        EngineName engine;
        Reserve reserve;
    };

    struct CacheChange
    {
        TimePoint changedAt;
        PrefixHash block;
        bool cached;
    };

    /// Passes the reservations that came since the last scan to @p accept, oldest first, until it returns true, and
    /// removes the others from the list.
    template<class Predicate>
    const Reservation *findFirstUnscanned(const Predicate &accept)
    {
        while (!m_unscanned.empty()) {
            const auto *it = m_queue.find(m_unscanned.front());
            if (it != nullptr && accept(*it)) {
                return it;
            }
            m_unscanned.pop_front();
        }
        return nullptr;
    }

    /// @return the engine that can place the request and is expected to finish it first, or an empty name
    EngineName bestEngine(const Reservation &reservation, const std::vector<TierProfile> &profiles) const
    {
        EngineName best;
        double bestSeconds = 0;
        for (const auto &[name, engine] : m_engines) {
            if (!engine.isAvailable()) {
                continue;
            }
            const auto candidate = candidateFor(reservation, engine);
            const double seconds = engine.secondsToFinish(candidate);
            if ((best.empty() || seconds < bestSeconds) && engine.canPlace(candidate, profiles)) {
                best = name;
                bestSeconds = seconds;
            }
        }
        return best;
    }

    Candidate candidateFor(const Reservation &reservation, const SlotController &engine) const
    {
        const auto &reserve = reservation.reserve;
        const auto blocks = static_cast<std::uint32_t>(engine.cache().countLeading(reserve.prefixes));
        const auto cached = std::min(blocks * prefixBlockTokens, reserve.promptTokens);
        return {reserve, reservation.deadline, expectedOutput(reservation), cached};
    }

    /// @return the output tokens to expect. Without an estimate in the reservation this is a high percentile while
    /// there is time to wait for a suitable engine, and the median once the deadline is closer.
    double expectedOutput(const Reservation &reservation) const
    {
        const auto &reserve = reservation.reserve;
        if (reserve.outputTokens > 0) {
            return reserve.outputTokens;
        }
        const auto profile = m_tierProfiles.find(reserve.tier);
        const double left = std::chrono::duration<double>(reservation.deadline - m_clock.now()).count();
        const bool conservative =
            profile == m_tierProfiles.end() || left > profile->second.secondsToDeadline * conservativeShare;
        return conservative ? m_outputLengths.percentile95(reserve.tier, reserve.customer)
                            : m_outputLengths.median(reserve.tier, reserve.customer);
    }

    /// Moves the typical request of the tier towards this one.
    void updateProfile(const Reserve &reserve)
    {
        auto [it, added] = m_tierProfiles.try_emplace(reserve.tier);
        auto &profile = it->second;
        const double seconds = std::chrono::duration<double>(reserve.timeLeft).count();
        if (added) {
            profile = {reserve.tier, static_cast<double>(reserve.promptTokens), 0, seconds, {}};
        }
        profile.promptTokens += profileSmoothing * (reserve.promptTokens - profile.promptTokens);
        profile.secondsToDeadline += profileSmoothing * (seconds - profile.secondsToDeadline);
        profile.lastSeen = m_clock.now();
    }

    /// @return the profiles of the tiers with recent reservations
    std::vector<TierProfile> activeProfiles() const
    {
        std::vector<TierProfile> profiles;
        for (const auto &[tier, profile] : m_tierProfiles) {
            if (m_clock.now() - profile.lastSeen <= profileMaxAge) {
                profiles.push_back(profile);
                profiles.back().outputTokens = m_outputLengths.percentile95(tier, {});
            }
        }
        return profiles;
    }

    /// Learns which blocks are shared, that is, occur in more than one prompt.
    void recordPrefixes(const std::vector<PrefixHash> &blocks)
    {
        for (const auto it : blocks) {
            if (m_seenBlocks.contains(it)) {
                m_sharedBlocks.add(it);
            }
        }
        m_seenBlocks.markUsed(blocks);
    }

    bool isShared(PrefixHash block) const
    {
        return m_sharedBlocks.contains(block);
    }

    /// Notes for the next heartbeats that the engine caches these blocks. Must be called before its index is updated.
    void recordNewlyCached(const SlotController &engine, const std::vector<PrefixHash> &blocks)
    {
        for (const auto it : blocks) {
            if (isShared(it) && !engine.cache().contains(it)) {
                m_cacheChanges.push_back({m_clock.now(), it, true});
            }
        }
    }

    /// Adds the last change of each recently changed block to the status.
    void addCacheChanges(TargetStatus &status)
    {
        const auto now = m_clock.now();
        while (!m_cacheChanges.empty() && now - m_cacheChanges.front().changedAt > cacheChangeRetention) {
            m_cacheChanges.pop_front();
        }
        std::map<PrefixHash, bool> last;
        for (const auto &it : m_cacheChanges) {
            last[it.block] = it.cached;
        }
        for (const auto &[block, cached] : last) {
            (cached ? status.cachedPrefixes : status.evictedPrefixes).push_back(block);
        }
    }

    /// @return the engine on which the request is placed, or null
    SlotController *engineRunning(const RequestId &id)
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
    OutputLengthEstimator m_outputLengths;
    std::map<EngineName, SlotController> m_engines;
    FairQueue m_queue;
    std::unordered_map<RequestId, PlacedRequest> m_placed;
    std::map<Tier, TierProfile> m_tierProfiles;
    std::deque<RequestId> m_unscanned; // reserved since the last scan that found nothing to claim
    bool m_rescanAll = true; // a change since the last scan may allow older reservations to be placed
    PrefixIndex m_seenBlocks {maxRecordedBlocks};
    PrefixIndex m_sharedBlocks {maxRecordedBlocks};
    std::deque<CacheChange> m_cacheChanges; // oldest first
};

} // namespace

std::unique_ptr<TargetPolicy>
makeTargetPolicy(const TargetName &target, const ServiceName &service, const Clock &clock, EventLog & /*events*/)
{
    return std::make_unique<LateBindingTarget>(target, service, clock);
}

} // namespace monsoonward
