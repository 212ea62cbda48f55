#pragma once

#include "monsoonward/stores/tableservice.h"

#include <map>

namespace monsoonward
{

/// @brief A fault that FakeTable injects into calls.
enum class TableFault {
    None,
    Down, ///< Has no effect, returns Unavailable.
    LostResponse, ///< A write takes effect, but returns Unknown; a read returns Unavailable.
    LostRequest, ///< A write has no effect and returns Unknown; a read returns Unavailable.
};

/// @brief In-memory table for tests and scenarios. Calls take effect at once; their callbacks are queued until
/// deliver() or deliverOne() runs them, in the order of the calls.
class FakeTable : public TableService
{
public:
    void read(const std::string &key, ReadCallback done) override;
    void scan(const std::string &prefix, const std::string &after, std::size_t limit, ScanCallback done) override;
    void write(const std::vector<RowWrite> &writes, WriteCallback done) override;

    /// Injects @p fault into every call from now on.
    void setFault(TableFault fault);
    /// Injects @p fault into the next write only, instead of the fault of setFault().
    void setNextWriteFault(TableFault fault);
    /// Runs the oldest queued callback. @return false when the queue was empty
    bool deliverOne();
    /// Runs queued callbacks, those that they queue included, until the queue is empty.
    void deliver();
    std::size_t pendingCallbackCount() const;
    std::size_t writeCalls() const;
    const std::map<std::string, Row> &rows() const;

private:
    Result<void> apply(const std::vector<RowWrite> &writes);

    std::map<std::string, Row> m_rows;
    std::vector<std::function<void()>> m_pendingCallbacks;
    TableFault m_fault = TableFault::None;
    TableFault m_nextWriteFault = TableFault::None;
    std::size_t m_writeCalls = 0;
};

} // namespace monsoonward
