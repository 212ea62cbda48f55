#pragma once

#include "monsoonward/policy/targetpolicy.h"

#include <functional>
#include <map>
#include <set>
#include <unordered_map>

namespace monsoonward
{

/// @brief Reservations in the order in which they should run: by tier; within a tier the customer that has had the
/// fewest tokens for its weight; within a customer by deadline. Every change costs log n.
class FairQueue
{
public:
    /// Adds @p reservation, or replaces the one with the same request ID.
    void push(const Reservation &reservation);
    /// @return whether there was such a reservation
    bool erase(const RequestId &id);
    /// Takes the reservation out and charges its tokens to the customer.
    Reservation take(const RequestId &id);
    const Reservation *find(const RequestId &id) const;

    /// Looks at reservations in order until @p accept returns true, at most @p limit in each tier.
    /// @return the accepted one, or null
    using Accept = std::function<bool(const Reservation &)>;
    const Reservation *findFirst(std::size_t limit, const Accept &accept) const;

    /// @return IDs whose deadline has passed at @p now
    std::vector<RequestId> expired(TimePoint now) const;
    /// @return IDs reserved by @p entry
    std::vector<RequestId> ofEntry(const Peer &entry) const;
    std::vector<TierLoad> loads() const;
    bool empty() const;

private:
    using ByDeadline = std::set<std::pair<TimePoint, RequestId>>;

    struct CustomerQueue
    {
        double served = 0; // tokens over weight, on the tier's virtual time
        ByDeadline waiting;
    };

    struct TierQueue
    {
        double virtualTime = 0; // of the customer served last
        std::unordered_map<CustomerName, CustomerQueue> customers;
        std::set<std::pair<double, CustomerName>> order; // customers that wait
        TierLoad load;
    };

    static std::uint64_t tokensOf(const Reservation &reservation);

    std::map<Tier, TierQueue> m_tiers;
    std::unordered_map<RequestId, Reservation> m_reservations;
    std::set<std::pair<TimePoint, RequestId>> m_deadlines;
};

} // namespace monsoonward
