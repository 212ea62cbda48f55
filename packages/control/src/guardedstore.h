#pragma once

#include <monsoonward/stores/stores.h>

#include <memory>

namespace monsoonward
{

/// @brief Counters of store operations since the start.
struct StoreUsage
{
    std::uint64_t reads = 0; ///< table reads, including scans
    std::uint64_t writes = 0; ///< table writes
    std::uint64_t objectReads = 0;
    std::uint64_t objectWrites = 0;
    std::uint64_t bytesRead = 0; ///< keys and values of rows, and objects
    std::uint64_t bytesWritten = 0;
    MONSOONWARD_FIELDS(reads, writes, objectReads, objectWrites, bytesRead, bytesWritten)
};

/// @brief Wrapper around the table service and the object store: counts operations, records one event at the start and
/// the end of each table outage, and drops responses that arrive after this object was destroyed.
class GuardedStore
{
public:
    GuardedStore(TableService &table, ObjectStore &objects, EventLog &events);

    void read(const std::string &key, const TableService::ReadCallback &done);
    void scan(const std::string &prefix,
              const std::string &after,
              std::size_t limit,
              const TableService::ScanCallback &done);
    void write(const std::vector<RowWrite> &writes, const TableService::WriteCallback &done);
    void get(const std::string &name, const ObjectStore::GetCallback &done);
    void put(const std::string &name, const std::string &bytes, const ObjectStore::PutCallback &done);

    /// @return whether the last table operation failed without a definite response
    bool isTableDown() const;
    const StoreUsage &usage() const;

private:
    void updateTableState(bool answered, const std::string &reason);

    TableService &m_table;
    ObjectStore &m_objects;
    EventLog &m_events;
    StoreUsage m_usage;
    bool m_isTableDown = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace monsoonward
