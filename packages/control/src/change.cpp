#include "change.h"

#include <algorithm>

#include "configurationlists.h"

#include <monsoonward/transport/transport.h>

#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace monsoonward
{

namespace
{

using Json = nlohmann::json;

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

Json binary(const std::string &bytes)
{
    return Json::binary({bytes.begin(), bytes.end()});
}

std::string_view bytesOf(const Json &json)
{
    const auto &bytes = json.get_binary();
    return {reinterpret_cast<const char *>(bytes.data()), bytes.size()};
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
    std::string bytes;
    const auto json =
        Json::array({binary(encodeConfiguration(change.upserted)), binary(encodeConfiguration(change.removed))});
    Json::to_msgpack(json, nlohmann::detail::output_adapter<char>(bytes));
    return bytes;
}

Result<ConfigurationChange> decodeChange(std::string_view bytes)
{
    const auto json = Json::from_msgpack(bytes, true, false);
    if (!json.is_array() || json.size() != 2 || !json[0].is_binary() || !json[1].is_binary()) {
        return Error {ErrorCode::Invalid, "malformed change of the configuration"};
    }
    BOOST_OUTCOME_TRY(upserted, decodeConfiguration(bytesOf(json[0])));
    BOOST_OUTCOME_TRY(removed, decodeConfiguration(bytesOf(json[1])));
    ConfigurationChange change {upserted, removed};
    sortLists(change.upserted);
    sortLists(change.removed);
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
