#include "rowupdates.h"

#include <algorithm>

namespace monsoonward
{

namespace
{

constexpr std::size_t maxBatch = 64; // rows per write
constexpr std::size_t maxUpdates =
    20000; // a dropped update leaves its row held; callers' retries with the key are then refused with MayHaveRun
constexpr Duration retryInterval = std::chrono::seconds(1);

} // namespace

RowUpdates::RowUpdates(const Clock &clock, TableService &table)
    : m_clock(clock)
    , m_table(table)
{
}

void RowUpdates::add(const std::string &key, const RequestId &holder, IdempotencyRowState state)
{
    if (m_updates.size() >= maxUpdates) {
        m_updates.erase(m_updates.begin());
    }
    const RowId rowId {holder, key};
    m_updates[rowId] = {state, false, m_clock.now()};
    readRow(rowId);
}

bool RowUpdates::isReleasing(const RequestId &holder) const
{
    auto it = m_updates.lower_bound({holder, {}});
    while (it != m_updates.end() && it->first.holder == holder) {
        if (it->second.state == IdempotencyRowState::Released) {
            return true;
        }
        ++it;
    }
    return false;
}

bool RowUpdates::empty() const
{
    return m_updates.empty();
}

std::size_t RowUpdates::size() const
{
    return m_updates.size();
}

void RowUpdates::tick()
{
    std::vector<RowId> due;
    for (const auto &[rowId, update] : m_updates) {
        if (!update.inProgress && update.nextAttemptAt <= m_clock.now()) {
            due.push_back(rowId);
        }
    }
    for (const auto &it : due) {
        readRow(it);
    }
}

void RowUpdates::readRow(const RowId &rowId)
{
    m_updates.at(rowId).inProgress = true;
    m_table.read(rowId.key, [this, rowId, alive = Alive(m_alive)](const Result<std::optional<Row>> &result) {
        if (!alive.expired()) {
            onRow(rowId, result);
        }
    });
}

void RowUpdates::onRow(const RowId &rowId, const Result<std::optional<Row>> &result)
{
    const auto it = m_updates.find(rowId);
    if (it == m_updates.end()) {
        return;
    }
    if (!result) {
        retryLater(rowId);
        return;
    }
    auto row = result.value() ? decodeIdempotencyRow(result.value()->value) : std::nullopt;
    if (!row || row->holder != rowId.holder || row->state != IdempotencyRowState::Held) {
        m_updates.erase(it);
        return;
    }
    row->state = it->second.state;
    m_pendingWrites.push_back({rowId, {rowId.key, encode(*row), result.value()->version}});
    writeBatch();
}

void RowUpdates::writeBatch()
{
    if (m_writing || m_pendingWrites.empty()) {
        return;
    }
    const auto n = std::min(m_pendingWrites.size(), maxBatch);
    std::vector<RowWrite> writes;
    std::vector<RowId> rows;
    for (std::size_t i = 0; i < n; ++i) {
        writes.push_back(m_pendingWrites[i].write);
        rows.push_back(m_pendingWrites[i].row);
    }
    m_pendingWrites.erase(m_pendingWrites.begin(), m_pendingWrites.begin() + static_cast<std::ptrdiff_t>(n));
    m_writing = true;
    m_table.write(writes, [this, rows, alive = Alive(m_alive)](const Result<void> &result) {
        if (!alive.expired()) {
            m_writing = false;
            onWritten(rows, result.has_value());
            writeBatch();
        }
    });
}

void RowUpdates::onWritten(const std::vector<RowId> &rows, bool done)
{
    for (const auto &it : rows) {
        if (done) {
            m_updates.erase(it);
        } else {
            retryLater(it);
        }
    }
}

void RowUpdates::retryLater(const RowId &rowId)
{
    const auto it = m_updates.find(rowId);
    if (it != m_updates.end()) {
        it->second.inProgress = false;
        it->second.nextAttemptAt = m_clock.now() + retryInterval;
    }
}

} // namespace monsoonward
