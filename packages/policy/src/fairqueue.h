#pragma once

#include "monsoonward/policy/targetpolicy.h"

#include <functional>
#include <map>
#include <set>
#include <unordered_map>

namespace monsoonward
{

/// @brief Queues reservations in the order in which they should run: by tier, within a tier by weighted fair queueing
/// between customers (fewest tokens per weight first), and within a customer by deadline. Changes take O(log n).
class FairQueue
{
public:
    /// Adds @p reservation, or replaces the one with the same request ID.
    void push(const Reservation &reservation);
    /// @return whether there was such a reservation
    bool erase(const RequestId &id);
    /// Removes the reservation and charges its tokens to the customer.
    Reservation take(const RequestId &id);
    const Reservation *find(const RequestId &id) const;

    using Predicate = std::function<bool(const Reservation &)>;
    /// Passes the reservations to @p accept in order until it returns true, at most @p maxPerTier of each tier.
    /// @return the accepted reservation, or null
    const Reservation *findFirst(std::size_t maxPerTier, const Predicate &accept) const;

    /// @return the IDs of the reservations whose deadline has passed at @p now
    std::vector<RequestId> expired(TimePoint now) const;
    /// @return the IDs of the reservations made by @p entry
    std::vector<RequestId> reservedBy(const Peer &entry) const;
    std::vector<TierLoad> tierLoads() const;
    bool empty() const;

private:
    using ByDeadline = std::set<std::pair<TimePoint, RequestId>>;

    struct CustomerQueue
    {
        double startTag = 0; // virtual time at which the customer's next request starts
        ByDeadline waiting;
    };

    struct TierQueue
    {
        double virtualTime = 0; // in tokens per weight; start tag of the customer served last
        std::unordered_map<CustomerName, CustomerQueue> customers;
        std::set<std::pair<double, CustomerName>> customersByTag; // those with waiting reservations
        TierLoad load;
    };

    static std::uint64_t tokenCost(const Reservation &reservation);

    std::map<Tier, TierQueue> m_tiers;
    std::unordered_map<RequestId, Reservation> m_reservations;
    std::set<std::pair<TimePoint, RequestId>> m_deadlines;
};

} // namespace monsoonward
