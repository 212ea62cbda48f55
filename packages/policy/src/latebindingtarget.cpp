#include "monsoonward/policy/factories.h"

#include <map>
#include <set>
#include <tuple>
#include <unordered_map>

namespace monsoonward
{

namespace
{

/// Target policy that claims the highest tier first and, within a tier, the earliest deadline.
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
        std::map<EngineName, Engine> next;
        for (const auto &it : engines) {
            auto engine = m_engines[it.name];
            engine.slots = it.maxBatch;
            next.emplace(it.name, engine);
        }
        m_engines = std::move(next);
    }

    void reserve(const Reservation &reservation) override
    {
        withdraw(reservation.reserve.id);
        m_queue.insert(orderOf(reservation));
        m_reservations.emplace(reservation.reserve.id, reservation);
    }

    void withdraw(const RequestId &id) override
    {
        const auto it = m_reservations.find(id);
        if (it != m_reservations.end()) {
            m_queue.erase(orderOf(it->second));
            m_reservations.erase(it);
        }
    }

    void entryGone(const Peer &entry) override
    {
        for (auto it = m_reservations.begin(); it != m_reservations.end();) {
            if (it->second.entry == entry) {
                m_queue.erase(orderOf(it->second));
                it = m_reservations.erase(it);
            } else {
                ++it;
            }
        }
    }

    std::optional<ClaimChoice> nextClaim() override
    {
        auto *engine = freeEngine();
        if (engine == nullptr || m_queue.empty()) {
            return std::nullopt;
        }
        const auto id = std::get<RequestId>(*m_queue.begin());
        const ClaimChoice choice {m_reservations.at(id), engine->first};
        withdraw(id);
        ++engine->second.used;
        m_placed.emplace(id, engine->first);
        return choice;
    }

    void released(const RequestId &id) override
    {
        freeSlot(id);
    }

    void dispatched(const RequestId & /*id*/) override
    {
    }

    void firstToken(const RequestId & /*id*/) override
    {
    }

    void token(const RequestId & /*id*/, std::uint32_t /*count*/) override
    {
    }

    void finished(const RequestId &id, const RunStats & /*stats*/) override
    {
        freeSlot(id);
    }

    void engineLoad(const EngineName & /*engine*/, std::uint32_t /*running*/, std::uint32_t /*waiting*/) override
    {
    }

    void engineFound(const EngineName &engine, std::uint32_t running) override
    {
        const auto it = m_engines.find(engine);
        if (it != m_engines.end()) {
            it->second.found = running;
        }
    }

    void engineUp(const EngineName &engine, bool up) override
    {
        const auto it = m_engines.find(engine);
        if (it != m_engines.end()) {
            it->second.up = up;
        }
    }

    void cacheEvent(const EngineName & /*engine*/,
                    const std::vector<PrefixHash> & /*cached*/,
                    const std::vector<PrefixHash> & /*evicted*/) override
    {
    }

    std::vector<ReservationDropped> tick() override
    {
        std::vector<ReservationDropped> dropped;
        const auto now = m_clock.now();
        for (const auto &[id, reservation] : m_reservations) {
            if (reservation.deadline <= now) {
                dropped.push_back({id, m_target, RefusalReason::Expired});
            }
        }
        for (const auto &it : dropped) {
            withdraw(it.id);
        }
        return dropped;
    }

    TargetStatus status() override
    {
        TargetStatus status;
        status.target = m_target;
        status.service = m_service;
        for (const auto &[name, engine] : m_engines) {
            status.running += engine.used + engine.found;
            status.freeSlots += engine.free();
        }
        std::map<Tier, TierLoad> loads;
        for (const auto &[id, reservation] : m_reservations) {
            const auto &reserve = reservation.reserve;
            auto &load = loads[reserve.tier];
            load.tier = reserve.tier;
            ++load.waiting;
            load.waitingTokens += reserve.promptTokens + reserve.outputTokens;
        }
        for (const auto &[tier, load] : loads) {
            status.tiers.push_back(load);
        }
        return status;
    }

private:
    using Order = std::tuple<Tier, TimePoint, RequestId>;

    struct Engine
    {
        std::uint32_t slots = 0;
        std::uint32_t used = 0;
        std::uint32_t found = 0; // run since before this daemon started
        bool up = true;

        std::uint32_t free() const
        {
            return up && slots > used + found ? slots - used - found : 0;
        }
    };

    static Order orderOf(const Reservation &reservation)
    {
        return {reservation.reserve.tier, reservation.deadline, reservation.reserve.id};
    }

    std::pair<const EngineName, Engine> *freeEngine()
    {
        std::pair<const EngineName, Engine> *best = nullptr;
        for (auto &it : m_engines) {
            if (it.second.free() > 0 && (best == nullptr || it.second.free() > best->second.free())) {
                best = &it;
            }
        }
        return best;
    }

    void freeSlot(const RequestId &id)
    {
        const auto placed = m_placed.find(id);
        if (placed == m_placed.end()) {
            return;
        }
        const auto engine = m_engines.find(placed->second);
        if (engine != m_engines.end()) {
            --engine->second.used;
        }
        m_placed.erase(placed);
    }

    TargetName m_target;
    ServiceName m_service;
    const Clock &m_clock;
    std::map<EngineName, Engine> m_engines;
    std::set<Order> m_queue;
    std::unordered_map<RequestId, Reservation> m_reservations;
    std::unordered_map<RequestId, EngineName> m_placed;
};

} // namespace

std::unique_ptr<TargetPolicy>
makeTargetPolicy(const TargetName &target, const ServiceName &service, const Clock &clock, EventLog & /*events*/)
{
    return std::make_unique<LateBindingTarget>(target, service, clock);
}

} // namespace monsoonward
