#include "guardedstore.h"

namespace monsoonward
{

namespace
{

/// @return whether the store responded. Errors such as a version conflict or a missing object are responses too.
template<class T>
bool isAnswer(const Result<T> &result)
{
    return result.has_value()
        || (result.error().code != ErrorCode::Unavailable && result.error().code != ErrorCode::Unknown);
}

template<class T>
std::string errorMessage(const Result<T> &result)
{
    return result.has_value() ? std::string() : result.error().message;
}

} // namespace

GuardedStore::GuardedStore(TableService &table, ObjectStore &objects, EventLog &events)
    : m_table(table)
    , m_objects(objects)
    , m_events(events)
{
}

void GuardedStore::updateTableState(bool answered, const std::string &reason)
{
    if (answered && m_isTableDown) {
        m_events.record(Event::StoreRecovered, Severity::Info, "the table service answers again");
    } else if (!answered && !m_isTableDown) {
        m_events.record(Event::StoreUnavailable, Severity::Warning, reason);
    }
    m_isTableDown = !answered;
}

void GuardedStore::read(const std::string &key, const TableService::ReadCallback &done)
{
    ++m_usage.reads;
    m_table.read(key, [this, done, alive = std::weak_ptr<bool>(m_alive)](const Result<std::optional<Row>> &result) {
        if (alive.expired()) {
            return;
        }
        updateTableState(isAnswer(result), errorMessage(result));
        if (result.has_value() && result.value()) {
            m_usage.bytesRead += result.value()->key.size() + result.value()->value.size();
        }
        done(result);
    });
}

void GuardedStore::scan(const std::string &prefix,
                        const std::string &after,
                        std::size_t limit,
                        const TableService::ScanCallback &done)
{
    ++m_usage.reads;
    const auto finish = [this, done, alive = std::weak_ptr<bool>(m_alive)](const Result<std::vector<Row>> &result) {
        if (alive.expired()) {
            return;
        }
        updateTableState(isAnswer(result), errorMessage(result));
        if (result.has_value()) {
            for (const auto &it : result.value()) {
                m_usage.bytesRead += it.key.size() + it.value.size();
            }
        }
        done(result);
    };
    m_table.scan(prefix, after, limit, finish);
}

void GuardedStore::write(const std::vector<RowWrite> &writes, const TableService::WriteCallback &done)
{
    ++m_usage.writes;
    for (const auto &it : writes) {
        m_usage.bytesWritten += it.key.size() + (it.value ? it.value->size() : 0);
    }
    m_table.write(writes, [this, done, alive = std::weak_ptr<bool>(m_alive)](const Result<void> &result) {
        if (alive.expired()) {
            return;
        }
        updateTableState(isAnswer(result), errorMessage(result));
        done(result);
    });
}

void GuardedStore::get(const std::string &name, const ObjectStore::GetCallback &done)
{
    ++m_usage.objectReads;
    m_objects.get(name, [this, done, alive = std::weak_ptr<bool>(m_alive)](const Result<std::string> &result) {
        if (alive.expired()) {
            return;
        }
        m_usage.bytesRead += result.has_value() ? result.value().size() : 0;
        done(result);
    });
}

void GuardedStore::put(const std::string &name, const std::string &bytes, const ObjectStore::PutCallback &done)
{
    ++m_usage.objectWrites;
    m_usage.bytesWritten += bytes.size();
    m_objects.put(name, bytes, [done, alive = std::weak_ptr<bool>(m_alive)](const Result<void> &result) {
        if (!alive.expired()) {
            done(result);
        }
    });
}

bool GuardedStore::isTableDown() const
{
    return m_isTableDown;
}

const StoreUsage &GuardedStore::usage() const
{
    return m_usage;
}

} // namespace monsoonward
