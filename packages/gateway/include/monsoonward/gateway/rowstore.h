#pragma once

#include <monsoonward/values/values.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace monsoonward
{

/// @brief One row of a table, or the news that it was removed.
struct TableRow
{
    std::string key;
    std::optional<std::string> value; ///< nothing: the row was removed
    std::uint64_t version = 0; ///< of the change
    MONSOONWARD_FIELDS(key, value, version)
};

/// @brief Rows of one table.
struct RowPage
{
    std::vector<TableRow> rows;
    std::uint64_t version = 0; ///< of the whole store; following from it leaves no change out
    bool hasMore = false;
    MONSOONWARD_FIELDS(rows, version, hasMore)
};

/// @brief Client of the fleet's table store: one call at a time, on one connection that is kept. Callbacks come exactly
/// once, later, on the thread of the event loop.
class RowStore
{
public:
    using PageCallback = std::function<void(const Result<RowPage> &)>;
    using WriteCallback = std::function<void(const Result<void> &)>;

    virtual ~RowStore() = default;
    /// Reads rows with keys from @p from on, in key order. Errors: Unavailable, Invalid.
    virtual void list(const std::string &table, const std::string &from, PageCallback done) = 0;
    /// Waits up to @p wait for changes after @p version. Errors: NotFound (that history is gone), Unavailable, Invalid.
    virtual void follow(const std::string &table, std::uint64_t version, Duration wait, PageCallback done) = 0;
    /// Writes a row, or removes it when @p row has no value.
    /// @param expectedVersion the version that the row must have
    /// Errors: Conflict, Unavailable (not written), Unknown (may be written, also later).
    virtual void write(const std::string &table,
                       const TableRow &row,
                       std::optional<std::uint64_t> expectedVersion,
                       WriteCallback done) = 0;
};

} // namespace monsoonward
