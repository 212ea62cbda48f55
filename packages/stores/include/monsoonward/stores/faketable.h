#pragma once

#include "monsoonward/stores/tableservice.h"

#include <map>

namespace monsoonward
{

/// @brief What a FakeTable does with the next call.
enum class TableFault {
    None,
    Down, ///< Answers Unavailable and does nothing.
    LostResponse, ///< Takes effect, then answers Unknown.
    LostRequest, ///< Has no effect, answers Unknown.
};

/// @brief A table in memory for tests and scenarios. Callbacks wait until deliver() is called, in order.
class FakeTable : public TableService
{
public:
    void read(const std::string &key, ReadCallback done) override;
    void scan(const std::string &prefix, const std::string &after, std::size_t limit, ScanCallback done) override;
    void write(const std::vector<RowWrite> &writes, WriteCallback done) override;

    /// Every call from now on meets @p fault.
    void setFault(TableFault fault);
    /// Only the next write meets @p fault.
    void setNextWriteFault(TableFault fault);
    /// Runs the oldest waiting callback. @return false when none waits
    bool deliverOne();
    /// Runs callbacks until none waits.
    void deliver();
    std::size_t waiting() const;
    std::size_t writeCalls() const;
    const std::map<std::string, Row> &rows() const;

private:
    Result<void> apply(const std::vector<RowWrite> &writes);

    std::map<std::string, Row> m_rows;
    std::vector<std::function<void()>> m_waiting;
    TableFault m_fault = TableFault::None;
    TableFault m_nextWriteFault = TableFault::None;
    std::size_t m_writeCalls = 0;
};

} // namespace monsoonward
