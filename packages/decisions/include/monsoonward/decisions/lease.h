#pragma once

#include <monsoonward/stores/stores.h>

#include <functional>
#include <memory>
#include <optional>

namespace monsoonward
{

/// @brief Number of a lease's holder, higher for each later one: the version of the lease's row.
using FencingToken = std::uint64_t;

/// @brief A lease of the table service on a name: one holder at a time, as far as holders can tell.
///
/// The row names the holder and rises in version whenever the holder changes or renews. A holder trusts its lease from
/// the moment before it sent the write until the lease's length has passed on its own monotonic clock. Others take the
/// row only after they have seen it unchanged for a longer time on their own clocks, so no clocks are compared.
/// A holder that stood still may not notice in time: each order carries the fencing number, and OrderGate refuses old
/// ones.
///
///     if (const auto number = lease.fencingNumber()) {
///         orders.load(..., *number);
///     }
class Lease
{
public:
    /// @param name names the lease, such as "weights/survey-llm"
    Lease(const std::string &name, const Peer &own, const Clock &clock, TableService &table, EventLog &events);
    ~Lease();
    Lease(const Lease &) = delete;
    Lease &operator=(const Lease &) = delete;

    /// Acquires the lease when it is free, and renews it, until release().
    void acquire();
    /// Gives it up; others may take it as soon as the table says so.
    void release();
    /// Checked on the monotonic clock right here: call it right before each order.
    /// @return the number to give orders under, or nothing when the lease isn't held (any more)
    std::optional<FencingToken> fencingToken() const;
    /// Runs timers; called at least every 100 ms of the clock.
    void tick();

    /// @return the key of the lease's row
    static std::string rowKey(const std::string &name);
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
    std::optional<FencingToken> m_token; // version of the row as last read back
    TimePoint m_validFrom {}; // the write that holds it was sent then
    bool m_callPending = false;
    std::uint64_t m_rowVersion = 0; // of the row as last seen
    TimePoint m_versionSince {}; // when this version was first seen
    std::string m_lastValue; // value of the last write; each one is different
    TimePoint m_lastWriteAt {}; // of the last write
    std::uint64_t m_writeCount = 0;
    TimePoint m_nextCallAt {};
    std::shared_ptr<int> m_alive = std::make_shared<int>();
};

} // namespace monsoonward
