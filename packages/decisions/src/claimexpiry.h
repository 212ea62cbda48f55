#pragma once

#include <monsoonward/stores/stores.h>

#include <memory>

namespace monsoonward
{

/// @brief Deletes old idempotency rows without relying on wall clocks. The table stores an epoch number. An entry that
/// has seen the same epoch for its full length, by its monotonic clock, increments it with a conditional write and
/// deletes the rows that are too old. An epoch may last longer than its length but never less, so each row is kept for
/// at least rowLifetime().
class IdempotencyRowExpiry
{
public:
    IdempotencyRowExpiry(const Clock &clock, TableService &table);

    void tick();
    /// @return the current epoch, or nothing if it hasn't been read yet
    std::optional<std::uint64_t> epoch() const;
    /// @return the minimum time that a row is kept
    static Duration rowLifetime();

private:
    using Alive = std::weak_ptr<int>;

    void readEpoch();
    void onEpochRow(const std::optional<Row> &row);
    void advanceEpoch();
    /// Scans the rows whose keys come after @p after, and deletes the expired ones.
    void scanForExpired(const std::string &after);
    void deleteExpired(const std::vector<Row> &rows);

    const Clock &m_clock;
    TableService &m_table;
    std::optional<std::uint64_t> m_epoch;
    std::uint64_t m_epochVersion = 0;
    TimePoint m_epochSince {}; // when m_epoch was first read
    TimePoint m_lastReadAt {};
    bool m_callPending = false;
    // Callbacks hold a weak reference, which expires with this object.
    std::shared_ptr<int> m_alive = std::make_shared<int>();
};

} // namespace monsoonward
