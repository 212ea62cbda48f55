#pragma once

#include "monsoonward/decisions/lease.h"

namespace monsoonward
{

/// @brief Guards the engines of one target against orders under old leases. It sits at the target daemon, in front of
/// every engine, also of those that ignore fencing numbers.
class OrderGate
{
public:
    /// @param leaseName the lease under which orders for this target are given
    OrderGate(const std::string &leaseName, const Clock &clock, TableService &table, EventLog &events);
    OrderGate(const OrderGate &) = delete;
    OrderGate &operator=(const OrderGate &) = delete;

    /// Reads the number from the table until it is known; called at least every 100 ms of the clock.
    void tick();
    /// Called right before the order goes to the engine.
    /// @return Denied for a number below the highest one seen; Unavailable before the table's number was read
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
    std::shared_ptr<int> m_alive = std::make_shared<int>();
};

} // namespace monsoonward
