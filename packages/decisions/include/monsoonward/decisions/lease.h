#pragma once

#include <monsoonward/stores/stores.h>

#include <functional>
#include <memory>
#include <optional>

namespace monsoonward
{

/// @brief Fencing token of a lease: the version of the lease's row. Each later holder has a higher one.
using FencingToken = std::uint64_t;

/// @brief A named lease, stored as a row of the table service. At most one process holds it at a time.
///
/// The row names the holder, and each renewal and each change of the holder raises its version. A holder's lease is
/// valid from the moment it sent the last successful write until length() has passed on its monotonic clock. Others may
/// take over only after the row hasn't changed for a longer time on their own clocks, so that clocks of different hosts
/// are never compared. A process that was paused may still send an order after its lease has expired; OrderGate refuses
/// such orders by their fencing tokens.
///
///     if (const auto token = lease.fencingToken()) {
///         engines.send({kind, engine, subject, *token}, done);
///     }
class Lease
{
public:
    /// @param name the name of the lease, such as "weights/survey-llm"
    /// @param own this process, as the row's holder
    Lease(const std::string &name, const Peer &own, const Clock &clock, TableService &table, EventLog &events);
    ~Lease();
    Lease(const Lease &) = delete;
    Lease &operator=(const Lease &) = delete;

    /// Starts to acquire the lease, and keeps renewing it until release().
    void acquire();
    /// Gives up the lease. Others can take it once the row is marked as free.
    void release();
    /// Compares the lease's expiry with the monotonic clock, so call it right before each order.
    /// @return the fencing token, or nothing if the lease isn't held
    std::optional<FencingToken> fencingToken() const;
    /// Runs timers. Must be called at least every 100 ms of the clock.
    void tick();

    /// @return the key of the lease's row
    static std::string rowKey(const std::string &name);
    /// @return how long the lease is valid after a write that acquired or renewed it
    static Duration length();

private:
    using Alive = std::weak_ptr<int>;

    void read();
    void onRow(const std::optional<Row> &row);
    void freeOwnRow(const std::optional<Row> &row);
    void onOwnRow();
    void onRowOfOther(const std::optional<Row> &row);
    void write(const std::string &value);
    bool isCurrent() const;
    bool isOwnValue(const std::string &value) const;
    void markLost(const std::string &why);
    std::string nextValue();

    std::string m_name;
    Peer m_own;
    const Clock &m_clock;
    TableService &m_table;
    EventLog &m_events;
    bool m_wanted = false;
    std::optional<FencingToken> m_token; // row version of the last confirmed own write; empty if the lease isn't held
    TimePoint m_validFrom {}; // when the write of m_token was sent
    bool m_callPending = false;
    std::uint64_t m_rowVersion = 0; // as last read
    TimePoint m_versionSince {}; // when m_rowVersion was first read
    std::string m_lastValue; // value of the last write; unique for each write
    TimePoint m_lastWriteAt {}; // when the last write was sent
    std::uint64_t m_writeCount = 0;
    TimePoint m_nextCallAt {};
    // Callbacks hold a weak reference, which expires with this object.
    std::shared_ptr<int> m_alive = std::make_shared<int>();
};

} // namespace monsoonward
