#include "change.h"

#include "configurationlists.h"
#include "monsoonward/control/declarations.h"

#include <monsoonward/transport/transport.h>

#include <xxhash.h>

#include <array>
#include <charconv>
#include <cstdio>
#include <set>
#include <sstream>

namespace monsoonward
{

namespace
{

constexpr std::size_t hashDigits = 16;

/// Appends @p spec to the list of @p configuration for entries of its type.
template<class Spec>
void append(Configuration &configuration, const Spec &spec)
{
    const auto insert = [&spec](const char * /*kind*/, auto &list) {
        if constexpr (std::is_same_v<typename std::decay_t<decltype(list)>::value_type, Spec>) {
            list.push_back(spec);
        }
    };
    forEachList(insert, configuration);
}

template<class Spec>
ContentHash entryHash(const Spec &spec)
{
    Configuration one;
    append(one, spec);
    const auto bytes = encodeConfiguration(one);
    return XXH64(bytes.data(), bytes.size(), 0);
}

template<class Spec>
void removeByKey(std::vector<Spec> &list, const std::vector<Spec> &removed)
{
    const auto isRemoved = [&removed](const Spec &spec) { return findByKey(removed, keyOf(spec)) != nullptr; };
    list.erase(std::remove_if(list.begin(), list.end(), isRemoved), list.end());
}

template<class Spec>
void upsert(std::vector<Spec> &list, const Spec &spec)
{
    const auto it = lowerBound(list, keyOf(spec));
    if (it != list.end() && keyOf(*it) == keyOf(spec)) {
        *it = spec;
    } else {
        list.insert(it, spec);
    }
}

/// @return whether no key occurs more than once in upserted and removed together. Their lists must be sorted.
bool hasUniqueKeys(const ConfigurationChange &change)
{
    bool once = true;
    const auto check = [&once](const char * /*kind*/, const auto &upserted, const auto &removed) {
        const auto same = [](const auto &a, const auto &b) { return keyOf(a) == keyOf(b); };
        once = once && std::adjacent_find(upserted.begin(), upserted.end(), same) == upserted.end();
        once = once && std::adjacent_find(removed.begin(), removed.end(), same) == removed.end();
        for (const auto &it : upserted) {
            once = once && findByKey(removed, keyOf(it)) == nullptr;
        }
    };
    forEachList(check, change.upserted, change.removed);
    return once;
}

/// @return @p bytes, prefixed with the hash as 16 hexadecimal digits
std::string prependHash(ContentHash hash, const std::string &bytes)
{
    std::array<char, hashDigits + 1> buf {};
    std::snprintf(buf.data(), buf.size(), "%016llx", static_cast<unsigned long long>(hash));
    return buf.data() + bytes;
}

/// Parses the hash at the beginning of @p bytes and removes it from them.
Result<ContentHash> takeHashPrefix(std::string_view &bytes)
{
    ContentHash hash = 0;
    const auto digits = bytes.substr(0, hashDigits);
    const auto result = std::from_chars(digits.data(), digits.data() + digits.size(), hash, 16);
    if (digits.size() < hashDigits || result.ec != std::errc() || result.ptr != digits.data() + digits.size()) {
        return Error {ErrorCode::Invalid, "a configuration or a change of it doesn't begin with its hash"};
    }
    bytes.remove_prefix(hashDigits);
    return hash;
}

/// @return the lines of the INI section that declares @p spec
template<class Spec>
std::set<std::string> declarationLines(const Spec &spec)
{
    Configuration one;
    append(one, spec);
    std::istringstream in(writeDeclarations(one));
    std::set<std::string> lines;
    std::string line;
    while (std::getline(in, line)) {
        lines.insert(line);
    }
    return lines;
}

/// @return ": " and the lines of @p after that are new or different, then "no longer" and each line of @p before whose
/// key @p after does not have; empty if there are none
template<class Spec>
std::string changedKeys(const Spec &before, const Spec &after)
{
    const auto old = declarationLines(before);
    const auto now = declarationLines(after);
    std::string text;
    for (const auto &it : now) {
        if (old.count(it) == 0) {
            text += (text.empty() ? ": " : ", ") + it;
        }
    }
    for (const auto &it : old) {
        const auto key = it.substr(0, it.find('=') + 1);
        const auto next = now.lower_bound(key);
        if (next == now.end() || next->compare(0, key.size(), key) != 0) {
            text += (text.empty() ? ": no longer " : ", no longer ") + it;
        }
    }
    return text;
}

} // namespace

void sortLists(Configuration &configuration)
{
    const auto sort = [](const char * /*kind*/, auto &list) {
        std::sort(list.begin(), list.end(), [](const auto &a, const auto &b) { return keyOf(a) < keyOf(b); });
    };
    forEachList(sort, configuration);
}

ConfigurationChange difference(const Configuration &from, const Configuration &to)
{
    ConfigurationChange change;
    const auto compare =
        [](const char * /*kind*/, const auto &before, const auto &after, auto &upserted, auto &removed) {
            for (const auto &it : after) {
                const auto *old = findByKey(before, keyOf(it));
                if (old == nullptr || *old != it) {
                    upserted.push_back(it);
                }
            }
            for (const auto &it : before) {
                if (findByKey(after, keyOf(it)) == nullptr) {
                    removed.push_back(it);
                }
            }
        };
    forEachList(compare, from, to, change.upserted, change.removed);
    return change;
}

bool isEmpty(const ConfigurationChange &change)
{
    return change == ConfigurationChange {};
}

Configuration applied(const Configuration &base, const ConfigurationChange &change)
{
    auto result = base;
    ++result.revision;
    const auto apply = [](const char * /*kind*/, auto &list, const auto &upserted, const auto &removed) {
        if (!removed.empty()) {
            removeByKey(list, removed);
        }
        for (const auto &it : upserted) {
            upsert(list, it);
        }
    };
    forEachList(apply, result, change.upserted, change.removed);
    return result;
}

ContentHash contentHash(const Configuration &configuration)
{
    return hashAfter(0, {}, {configuration, {}});
}

ContentHash hashAfter(ContentHash hash, const Configuration &base, const ConfigurationChange &change)
{
    const auto update = [&hash](const char * /*kind*/, const auto &before, const auto &upserted, const auto &removed) {
        for (const auto &it : removed) {
            const auto *old = findByKey(before, keyOf(it));
            hash -= old == nullptr ? 0 : entryHash(*old);
        }
        for (const auto &it : upserted) {
            const auto *old = findByKey(before, keyOf(it));
            hash -= old == nullptr ? 0 : entryHash(*old);
            hash += entryHash(it);
        }
    };
    forEachList(update, base, change.upserted, change.removed);
    return hash;
}

std::string encodeChange(const ConfigurationChange &change)
{
    return encodeConfigurations({change.upserted, change.removed});
}

Result<ConfigurationChange> decodeChange(std::string_view bytes)
{
    BOOST_OUTCOME_TRY(parts, decodeConfigurations(bytes));
    if (parts.size() != 2) {
        return Error {ErrorCode::Invalid, "a change of the configuration has two parts"};
    }
    ConfigurationChange change {std::move(parts[0]), std::move(parts[1])};
    sortLists(change.upserted);
    sortLists(change.removed);
    if (!hasUniqueKeys(change)) {
        return Error {ErrorCode::Invalid, "a change of the configuration names an entry twice"};
    }
    return change;
}

std::string encodeDelta(const Delta &delta)
{
    return prependHash(delta.hash, encodeChange(delta.change));
}

Result<Delta> decodeDelta(std::string_view bytes)
{
    BOOST_OUTCOME_TRY(hash, takeHashPrefix(bytes));
    BOOST_OUTCOME_TRY(change, decodeChange(bytes));
    return Delta {std::move(change), hash};
}

std::string encodeSnapshot(const Snapshot &snapshot)
{
    return prependHash(snapshot.hash, encodeConfiguration(snapshot.configuration));
}

Result<Snapshot> decodeSnapshot(std::string_view bytes)
{
    BOOST_OUTCOME_TRY(hash, takeHashPrefix(bytes));
    BOOST_OUTCOME_TRY(configuration, decodeConfiguration(bytes));
    sortLists(configuration);
    if (contentHash(configuration) != hash) {
        return Error {ErrorCode::Invalid, "a snapshot of the configuration doesn't match its hash"};
    }
    return Snapshot {std::move(configuration), hash};
}

std::vector<std::string> describeChange(const ConfigurationChange &change, const Configuration &base)
{
    std::vector<std::string> lines;
    const auto collect = [&](const std::string &kind, const auto &before, const auto &upserted, const auto &removed) {
        for (const auto &it : upserted) {
            const auto *old = findByKey(before, keyOf(it));
            const auto name = kind + " " + keyText(keyOf(it));
            lines.push_back(old == nullptr ? "add " + name : "change " + name + changedKeys(*old, it));
        }
        for (const auto &it : removed) {
            lines.push_back("remove " + kind + " " + keyText(keyOf(it)));
        }
    };
    forEachList(collect, base, change.upserted, change.removed);
    return lines;
}

} // namespace monsoonward
