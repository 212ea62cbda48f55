#pragma once

#include <monsoonward/values/values.h>

#include <string>
#include <string_view>
#include <vector>

namespace monsoonward
{

/// @brief The difference between two configurations: entries that are added or replaced, and entries that are removed.
struct ConfigurationChange
{
    Configuration upserted; ///< the revision is ignored
    Configuration removed; ///< only the names of the entries are used
    MONSOONWARD_FIELDS(upserted, removed)
};

/// Order-independent hash over all entries: the sum of the entry hashes. A change updates it without rehashing the
/// other entries.
using ContentHash = std::uint64_t;

/// Sorts each list by name, and tiers by level.
void sortLists(Configuration &configuration);
/// @return the change that turns @p from into @p to. The lists of both must be sorted.
ConfigurationChange difference(const Configuration &from, const Configuration &to);
bool isEmpty(const ConfigurationChange &change);
/// @return @p base with @p change applied and the revision incremented
Configuration applied(const Configuration &base, const ConfigurationChange &change);
ContentHash contentHash(const Configuration &configuration);
/// @return contentHash(applied(base, change)), computed from @p hash, the content hash of @p base
ContentHash hashAfter(ContentHash hash, const Configuration &base, const ConfigurationChange &change);

std::string encodeChange(const ConfigurationChange &change);
/// @return the change. Errors: Invalid.
Result<ConfigurationChange> decodeChange(std::string_view bytes);

/// @brief A change and the content hash of the configuration after it.
struct Delta
{
    ConfigurationChange change;
    ContentHash hash = 0;
    MONSOONWARD_FIELDS(change, hash)
};

/// @brief A whole configuration and its content hash.
struct Snapshot
{
    Configuration configuration;
    ContentHash hash = 0;
    MONSOONWARD_FIELDS(configuration, hash)
};

std::string encodeDelta(const Delta &delta);
/// @return the delta. Errors: Invalid.
Result<Delta> decodeDelta(std::string_view bytes);
std::string encodeSnapshot(const Snapshot &snapshot);
/// @return the snapshot. Errors: Invalid (malformed, or the hash does not match).
Result<Snapshot> decodeSnapshot(std::string_view bytes);

/// @return one line of text for each entry of the change, such as "change target isole-3: state = draining"
std::vector<std::string> describeChange(const ConfigurationChange &change, const Configuration &base);

} // namespace monsoonward
