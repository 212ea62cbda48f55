#include "fairqueue.h"

#include <algorithm>

namespace monsoonward
{

void FairQueue::push(const Reservation &reservation)
{
    const auto &reserve = reservation.reserve;
    erase(reserve.id);
    auto &tier = m_tiers[reserve.tier];
    auto &customer = tier.customers[reserve.customer];
    if (customer.waiting.empty()) {
        customer.startTag = std::max(customer.startTag, tier.virtualTime);
        tier.customersByTag.insert({customer.startTag, reserve.customer});
    }
    customer.waiting.insert({reservation.deadline, reserve.id});
    m_deadlines.insert({reservation.deadline, reserve.id});
    tier.load.tier = reserve.tier;
    ++tier.load.waiting;
    tier.load.waitingTokens += tokenCost(reservation);
    m_reservations.emplace(reserve.id, reservation);
}

bool FairQueue::erase(const RequestId &id)
{
    const auto it = m_reservations.find(id);
    if (it == m_reservations.end()) {
        return false;
    }
    const auto &reservation = it->second;
    auto &tier = m_tiers.at(reservation.reserve.tier);
    auto &customer = tier.customers.at(reservation.reserve.customer);
    customer.waiting.erase({reservation.deadline, id});
    m_deadlines.erase({reservation.deadline, id});
    if (customer.waiting.empty()) {
        tier.customersByTag.erase({customer.startTag, reservation.reserve.customer});
        if (customer.startTag <= tier.virtualTime) {
            tier.customers.erase(reservation.reserve.customer);
        }
    }
    --tier.load.waiting;
    tier.load.waitingTokens -= tokenCost(reservation);
    m_reservations.erase(it);
    return true;
}

Reservation FairQueue::take(const RequestId &id)
{
    auto reservation = m_reservations.at(id);
    const auto &name = reservation.reserve.customer;
    auto &tier = m_tiers.at(reservation.reserve.tier);
    auto &customer = tier.customers.at(name);
    tier.customersByTag.erase({customer.startTag, name});
    tier.virtualTime = std::max(tier.virtualTime, customer.startTag);
    const double weight = std::max(reservation.reserve.weight, 1e-6);
    customer.startTag += static_cast<double>(tokenCost(reservation)) / weight;
    tier.customersByTag.insert({customer.startTag, name});
    erase(id);
    return reservation;
}

const Reservation *FairQueue::find(const RequestId &id) const
{
    const auto it = m_reservations.find(id);
    return it == m_reservations.end() ? nullptr : &it->second;
}

const Reservation *FairQueue::findFirst(std::size_t maxPerTier, const Predicate &accept) const
{
    for (const auto &[level, tier] : m_tiers) {
        std::size_t examined = 0;
        for (const auto &[startTag, name] : tier.customersByTag) {
            for (const auto &[deadline, id] : tier.customers.at(name).waiting) {
                const auto &reservation = m_reservations.at(id);
                if (accept(reservation)) {
                    return &reservation;
                }
                if (++examined >= maxPerTier) {
                    break;
                }
            }
            if (examined >= maxPerTier) {
                break;
            }
        }
    }
    return nullptr;
}

std::vector<RequestId> FairQueue::expired(TimePoint now) const
{
    std::vector<RequestId> ids;
    for (auto it = m_deadlines.begin(); it != m_deadlines.end() && it->first <= now; ++it) {
        ids.push_back(it->second);
    }
    return ids;
}

std::vector<RequestId> FairQueue::reservedBy(const Peer &entry) const
{
    std::vector<RequestId> ids;
    for (const auto &[id, reservation] : m_reservations) {
        if (reservation.entry == entry) {
            ids.push_back(id);
        }
    }
    return ids;
}

std::vector<TierLoad> FairQueue::tierLoads() const
{
    std::vector<TierLoad> loads;
    for (const auto &[level, tier] : m_tiers) {
        if (tier.load.waiting > 0) {
            loads.push_back(tier.load);
        }
    }
    return loads;
}

bool FairQueue::empty() const
{
    return m_reservations.empty();
}

std::uint64_t FairQueue::tokenCost(const Reservation &reservation)
{
    return std::uint64_t {reservation.reserve.promptTokens} + reservation.reserve.outputTokens + 1;
}

} // namespace monsoonward
