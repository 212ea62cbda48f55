#pragma once

#include <monsoonward/values/values.h>

#include <string>
#include <string_view>
#include <vector>

namespace monsoonward
{

/// @brief What turns one configuration into another: whole entries that are new or different, and entries that go.
struct ConfigurationChange
{
    Configuration upserted; ///< its revision is unused
    Configuration removed; ///< only the names of its entries count
    MONSOONWARD_FIELDS(upserted, removed)
};

/// Hash over all entries that doesn't depend on their order, so that a change updates it without a pass over the rest.
using ContentHash = std::uint64_t;

/// Sorts each list by name (tiers by level).
void sortLists(Configuration &configuration);
/// @return what turns @p from into @p to; both sorted
ConfigurationChange difference(const Configuration &from, const Configuration &to);
bool isEmpty(const ConfigurationChange &change);
/// @return @p base with @p change applied, with its revision one higher
Configuration applied(const Configuration &base, const ConfigurationChange &change);
ContentHash contentHash(const Configuration &configuration);
/// @return contentHash(applied(base, change)), given @p hash of @p base
ContentHash hashAfter(ContentHash hash, const Configuration &base, const ConfigurationChange &change);

std::string encodeChange(const ConfigurationChange &change);
/// @return the change, or Invalid
Result<ConfigurationChange> decodeChange(std::string_view bytes);

/// @brief A change and the content hash after it.
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
/// @return the delta, or Invalid
Result<Delta> decodeDelta(std::string_view bytes);
std::string encodeSnapshot(const Snapshot &snapshot);
/// @return the snapshot, or Invalid when it is malformed or its hash doesn't match
Result<Snapshot> decodeSnapshot(std::string_view bytes);

/// @return one line for each entry of the change, such as "change target isole-3: state = draining"
std::vector<std::string> describeChange(const ConfigurationChange &change, const Configuration &base);

} // namespace monsoonward
