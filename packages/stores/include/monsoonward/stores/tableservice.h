#pragma once

#include <monsoonward/values/values.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace monsoonward
{

/// @brief One row of the platform's table service.
struct Row
{
    std::string key;
    std::string value;
    std::uint64_t version = 0; ///< increases with each write of the row
    MONSOONWARD_FIELDS(key, value, version)
};

/// @brief One write of a transaction, optionally on the condition that the row has a given version. Version 0 means
/// that the row does not exist.
struct RowWrite
{
    std::string key;
    std::optional<std::string> value; ///< none: delete the row
    std::optional<std::uint64_t> expectedVersion; ///< none: unconditional
    MONSOONWARD_FIELDS(key, value, expectedVersion)
};

/// @brief Client of the platform's transactional table service. Calls return at once; the callback runs exactly once,
/// on the control thread. Implementations apply a timeout to each call.
class TableService
{
public:
    using ReadCallback = std::function<void(Result<std::optional<Row>>)>;
    using ScanCallback = std::function<void(Result<std::vector<Row>>)>;
    using WriteCallback = std::function<void(Result<void>)>;

    virtual ~TableService() = default;
    /// Reads one row; none if it does not exist. Errors: Unavailable.
    virtual void read(const std::string &key, ReadCallback done) = 0;
    /// Reads at most @p limit rows whose keys begin with @p prefix and are greater than @p after, in key order.
    /// Errors: Unavailable.
    virtual void scan(const std::string &prefix, const std::string &after, std::size_t limit, ScanCallback done) = 0;
    /// Applies all of @p writes atomically; each row may occur once. Errors: Invalid (a row occurs twice), Conflict (a
    /// condition did not hold) and Unavailable, all with nothing written; Unknown (the response was lost: read the rows
    /// to find out).
    virtual void write(const std::vector<RowWrite> &writes, WriteCallback done) = 0;
};

} // namespace monsoonward
