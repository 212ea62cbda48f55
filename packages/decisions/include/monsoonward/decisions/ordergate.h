#pragma once

#include "monsoonward/decisions/lease.h"

namespace monsoonward
{

/// @brief Refuses an order for a target's engines if its sender has lost the lease. Runs in the target daemon and
/// applies to every engine, because some engines ignore fencing tokens.
class OrderGate
{
public:
    /// @param leaseName the lease that a sender of orders for this target must hold
    OrderGate(const std::string &leaseName, const Clock &clock, TableService &table, EventLog &events);
    OrderGate(const OrderGate &) = delete;
    OrderGate &operator=(const OrderGate &) = delete;

    /// Reads the current token from the table until a read succeeds. Must be called at least every 100 ms of the clock.
    void tick();
    /// Must be called right before the order is sent to the engine.
    /// @return Denied if @p token is lower than the highest one seen; Unavailable while no token has been read from the
    /// table
    Result<void> admit(FencingToken token);

private:
    void onRow(const std::optional<Row> &row);

    std::string m_leaseName;
    const Clock &m_clock;
    TableService &m_table;
    EventLog &m_events;
    std::optional<FencingToken> m_highestToken;
    bool m_callPending = false;
    TimePoint m_nextReadAt {};
    // Callbacks hold a weak reference, which expires with this object.
    std::shared_ptr<int> m_alive = std::make_shared<int>();
};

} // namespace monsoonward
