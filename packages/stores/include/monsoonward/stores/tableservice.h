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
    std::uint64_t version = 0; ///< rises with each write of the row
    MONSOONWARD_FIELDS(key, value, version)
};

/// @brief One conditional write. Version 0 stands for "the row is absent".
struct RowWrite
{
    std::string key;
    std::optional<std::string> value; ///< nothing: delete the row
    std::optional<std::uint64_t> ifVersion; ///< nothing: unconditional
    MONSOONWARD_FIELDS(key, value, ifVersion)
};

/// @brief Client of the platform's transactional table service. Calls return at once; the callback runs on the control
/// thread, exactly once. Implementations bound each call by a timeout.
class TableService
{
public:
    using ReadCallback = std::function<void(Result<std::optional<Row>>)>;
    using ScanCallback = std::function<void(Result<std::vector<Row>>)>;
    using WriteCallback = std::function<void(Result<void>)>;

    virtual ~TableService() = default;
    virtual void read(const std::string &key, ReadCallback done) = 0;
    /// Reads at most @p limit rows whose keys begin with @p prefix and are greater than @p after, in key order.
    virtual void scan(const std::string &prefix, const std::string &after, std::size_t limit, ScanCallback done) = 0;
    /// Writes all of @p writes or none; a row may stand in them once. Errors: Invalid (a row stands twice), Conflict,
    /// Unavailable (nothing written in all three), Unknown (the answer was lost; settle it by reading).
    virtual void write(const std::vector<RowWrite> &writes, WriteCallback done) = 0;
};

} // namespace monsoonward
