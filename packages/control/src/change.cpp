#include "change.h"

#include <algorithm>

#include "configurationlists.h"

#include <monsoonward/transport/transport.h>

#include <xxhash.h>

namespace monsoonward
{

namespace
{

/// Puts @p spec into the list of @p configuration that holds its kind.
template<class Spec>
void add(Configuration &configuration, const Spec &spec)
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
    add(one, spec);
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

/// @return whether no entry is named twice; both sides sorted
bool namesOnce(const ConfigurationChange &change)
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
    if (!namesOnce(change)) {
        return Error {ErrorCode::Invalid, "a change of the configuration names an entry twice"};
    }
    return change;
}

std::vector<std::string> describe(const ConfigurationChange &change, const Configuration &base)
{
    std::vector<std::string> lines;
    const auto collect =
        [&lines](const std::string &kind, const auto &before, const auto &upserted, const auto &removed) {
            for (const auto &it : upserted) {
                const bool isNew = findByKey(before, keyOf(it)) == nullptr;
                lines.push_back((isNew ? "add " : "change ") + kind + " " + keyText(keyOf(it)));
            }
            for (const auto &it : removed) {
                lines.push_back("remove " + kind + " " + keyText(keyOf(it)));
            }
        };
    forEachList(collect, base, change.upserted, change.removed);
    return lines;
}

} // namespace monsoonward
