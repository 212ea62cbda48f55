#pragma once

#include <monsoonward/dispatch/dispatch.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace monsoonward
{

/// @brief A row of a table, or a notice that the row was deleted.
struct TableRow
{
    std::string key;
    std::optional<std::string> value; ///< empty if the row was deleted
    std::uint64_t version = 0; ///< store version at which the row last changed
    MONSOONWARD_FIELDS(key, value, version)
};

/// @brief One page of a table's rows, or the changes that one follow() call returned.
struct RowPage
{
    std::vector<TableRow> rows;
    std::uint64_t version = 0; ///< version of the whole store; following from here misses no change in the same era
    bool hasMore = false; ///< list() has further pages
    std::optional<StoreEra> era {}; ///< empty if the store does not state it, or not as a number
    bool isEraMalformed = false;
    std::int64_t storeTimeMs = 0; ///< the store's monotonic clock when it answered; 0 if it does not state it
    MONSOONWARD_FIELDS(rows, version, hasMore, era, isEraMalformed, storeTimeMs)
};

/// @brief Client of the fleet's table store. It makes one call at a time over one persistent connection. Each callback
/// runs exactly once, asynchronously, on the event loop's thread.
class RowStore
{
public:
    using PageCallback = std::function<void(const Result<RowPage> &)>;
    using WriteCallback = std::function<void(const Result<void> &)>;

    virtual ~RowStore() = default;
    /// Abandons the call in progress, if any; its callback is not called.
    virtual void cancel() = 0;
    /// @return whether the answer to the call in progress has begun to arrive
    virtual bool isReceiving() const = 0;
    /// Reads a page of rows in key order, starting at key @p from. Errors: Unavailable, Invalid.
    virtual void list(const std::string &table, const std::string &from, PageCallback done) = 0;
    /// Long-polls for changes after @p version, for up to @p wait. Errors: NotFound if the store no longer has the
    /// history since that version, Unavailable, Invalid.
    virtual void follow(const std::string &table, std::uint64_t version, Duration wait, PageCallback done) = 0;
    /// Writes a row, or deletes it if @p row has no value.
    /// @param expectedVersion if set, the write succeeds only if the row still has this version
    /// Errors: Conflict (another version), Unavailable (not written), Unknown (the write may take effect, even later).
    virtual void write(const std::string &table,
                       const TableRow &row,
                       std::optional<std::uint64_t> expectedVersion,
                       WriteCallback done) = 0;
};

} // namespace monsoonward
