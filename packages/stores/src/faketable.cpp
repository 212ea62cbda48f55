#include "monsoonward/stores/faketable.h"

#include <set>
#include <utility>

namespace monsoonward
{

namespace
{

Error unavailableError()
{
    return {ErrorCode::Unavailable, "the table service is down"};
}

Error unknownError()
{
    return {ErrorCode::Unknown, "the response of the table service was lost"};
}

} // namespace

void FakeTable::read(const std::string &key, ReadCallback done)
{
    if (m_fault != TableFault::None) {
        m_pendingCallbacks.emplace_back([done] { done(unavailableError()); });
        return;
    }
    std::optional<Row> row;
    const auto it = m_rows.find(key);
    if (it != m_rows.end()) {
        row = it->second;
    }
    m_pendingCallbacks.emplace_back([done, row] { done(row); });
}

void FakeTable::scan(const std::string &prefix, const std::string &after, std::size_t limit, ScanCallback done)
{
    if (m_fault != TableFault::None) {
        m_pendingCallbacks.emplace_back([done] { done(unavailableError()); });
        return;
    }
    std::vector<Row> rows;
    auto it = after < prefix ? m_rows.lower_bound(prefix) : m_rows.upper_bound(after);
    while (it != m_rows.end() && rows.size() < limit && it->first.compare(0, prefix.size(), prefix) == 0) {
        rows.push_back(it->second);
        ++it;
    }
    m_pendingCallbacks.emplace_back([done, rows] { done(rows); });
}

void FakeTable::write(const std::vector<RowWrite> &writes, WriteCallback done)
{
    ++m_writeCalls;
    const auto fault = m_nextWriteFault == TableFault::None ? m_fault : m_nextWriteFault;
    m_nextWriteFault = TableFault::None;
    if (fault == TableFault::Down) {
        m_pendingCallbacks.emplace_back([done] { done(unavailableError()); });
        return;
    }
    if (fault == TableFault::LostRequest) {
        m_pendingCallbacks.emplace_back([done] { done(unknownError()); });
        return;
    }
    const auto result = apply(writes);
    if (fault == TableFault::LostResponse) {
        m_pendingCallbacks.emplace_back([done] { done(unknownError()); });
        return;
    }
    m_pendingCallbacks.emplace_back([done, result] { done(result); });
}

Result<void> FakeTable::apply(const std::vector<RowWrite> &writes)
{
    std::set<std::string> keys;
    for (const auto &it : writes) {
        if (!keys.insert(it.key).second) {
            return Error {ErrorCode::Invalid, "row \"" + it.key + "\" occurs twice in one write"};
        }
    }
    for (const auto &it : writes) {
        const auto row = m_rows.find(it.key);
        const auto version = row == m_rows.end() ? 0 : row->second.version;
        if (it.expectedVersion && *it.expectedVersion != version) {
            return Error {ErrorCode::Conflict,
                          "row \"" + it.key + "\" has version " + std::to_string(version) + ", not "
                              + std::to_string(*it.expectedVersion)};
        }
    }
    for (const auto &it : writes) {
        if (!it.value) {
            m_rows.erase(it.key);
            continue;
        }
        auto &row = m_rows[it.key];
        row = {it.key, *it.value, row.version + 1};
    }
    return boost::outcome_v2::success();
}

void FakeTable::setFault(TableFault fault)
{
    m_fault = fault;
}

void FakeTable::setNextWriteFault(TableFault fault)
{
    m_nextWriteFault = fault;
}

bool FakeTable::deliverOne()
{
    if (m_pendingCallbacks.empty()) {
        return false;
    }
    const auto callback = std::move(m_pendingCallbacks.front());
    m_pendingCallbacks.erase(m_pendingCallbacks.begin());
    callback();
    return true;
}

void FakeTable::deliver()
{
    while (deliverOne()) { }
}

std::size_t FakeTable::pendingCallbackCount() const
{
    return m_pendingCallbacks.size();
}

std::size_t FakeTable::writeCalls() const
{
    return m_writeCalls;
}

const std::map<std::string, Row> &FakeTable::rows() const
{
    return m_rows;
}

} // namespace monsoonward
