#include "rowupdates.h"

#include <algorithm>

namespace monsoonward
{

namespace
{

constexpr std::size_t maxBatch = 64; // rows of one write
constexpr std::size_t maxUpdates = 20000; // what is dropped beyond only makes answers to resends less precise
constexpr Duration retryInterval = std::chrono::seconds(1);

} // namespace

RowUpdates::RowUpdates(const Clock &clock, TableService &table)
    : m_clock(clock)
    , m_table(table)
{
}

void RowUpdates::add(const std::string &key, const RequestId &holder, ClaimRowState state)
{
    if (m_updates.size() >= maxUpdates) {
        m_updates.erase(m_updates.begin());
    }
    const RowOf which {holder, key};
    m_updates[which] = {state, false, m_clock.now()};
    readRow(which);
}

bool RowUpdates::releasing(const RequestId &holder) const
{
    auto it = m_updates.lower_bound({holder, {}});
    while (it != m_updates.end() && it->first.holder == holder) {
        if (it->second.state == ClaimRowState::Released) {
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
    std::vector<RowOf> due;
    for (const auto &[which, update] : m_updates) {
        if (!update.busy && update.tryAt <= m_clock.now()) {
            due.push_back(which);
        }
    }
    for (const auto &it : due) {
        readRow(it);
    }
}

void RowUpdates::readRow(const RowOf &which)
{
    m_updates.at(which).busy = true;
    m_table.read(which.key, [this, which, alive = Alive(m_alive)](const Result<std::optional<Row>> &result) {
        if (!alive.expired()) {
            onRow(which, result);
        }
    });
}

void RowUpdates::onRow(const RowOf &which, const Result<std::optional<Row>> &result)
{
    const auto it = m_updates.find(which);
    if (it == m_updates.end()) {
        return;
    }
    if (!result) {
        retryLater(which);
        return;
    }
    auto row = result.value() ? decodeClaimRow(result.value()->value) : std::nullopt;
    if (!row || row->holder != which.holder || row->state != ClaimRowState::Held) {
        m_updates.erase(it);
        return;
    }
    row->state = it->second.state;
    m_ready.push_back({which, {which.key, encode(*row), result.value()->version}});
    flush();
}

void RowUpdates::flush()
{
    if (m_writing || m_ready.empty()) {
        return;
    }
    const auto n = std::min(m_ready.size(), maxBatch);
    std::vector<RowWrite> writes;
    std::vector<RowOf> rows;
    for (std::size_t i = 0; i < n; ++i) {
        writes.push_back(m_ready[i].write);
        rows.push_back(m_ready[i].row);
    }
    m_ready.erase(m_ready.begin(), m_ready.begin() + static_cast<std::ptrdiff_t>(n));
    m_writing = true;
    m_table.write(writes, [this, rows, alive = Alive(m_alive)](const Result<void> &result) {
        if (!alive.expired()) {
            m_writing = false;
            onWritten(rows, result.has_value());
            flush();
        }
    });
}

void RowUpdates::onWritten(const std::vector<RowOf> &rows, bool done)
{
    for (const auto &it : rows) {
        if (done) {
            m_updates.erase(it);
        } else {
            retryLater(it);
        }
    }
}

void RowUpdates::retryLater(const RowOf &which)
{
    const auto it = m_updates.find(which);
    if (it != m_updates.end()) {
        it->second.busy = false;
        it->second.tryAt = m_clock.now() + retryInterval;
    }
}

} // namespace monsoonward
