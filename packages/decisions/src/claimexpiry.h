#pragma once

#include <monsoonward/stores/stores.h>

#include <memory>

namespace monsoonward
{

/// @brief Expires idempotency rows without wall clocks. The table holds an epoch number. Whoever has seen it unchanged
/// for an epoch's length on the own monotonic clock raises it by a conditional write and sweeps the rows that are too
/// old. Epochs may last longer than their length, never shorter, so a row lives at least claimLifetime().
class IdempotencyRowExpiry
{
public:
    IdempotencyRowExpiry(const Clock &clock, TableService &table);

    void tick();
    /// @return the epoch in force, or nothing before it was read
    std::optional<std::uint64_t> epoch() const;
    static Duration rowLifetime();

private:
    using Alive = std::weak_ptr<int>;

    void readEpoch();
    void onEpochRow(const std::optional<Row> &row);
    void advanceEpoch();
    void scanForExpired(const std::string &after);
    void deleteExpired(const std::vector<Row> &rows);

    const Clock &m_clock;
    TableService &m_table;
    std::optional<std::uint64_t> m_epoch;
    std::uint64_t m_epochVersion = 0;
    TimePoint m_epochSince {}; // when the epoch was first seen
    TimePoint m_lastReadAt {};
    bool m_callPending = false;
    std::shared_ptr<int> m_alive = std::make_shared<int>();
};

} // namespace monsoonward
