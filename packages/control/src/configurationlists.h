#pragma once

#include <monsoonward/values/values.h>

#include <algorithm>
#include <string>

/// Generic access to the lists of one or more configurations.
namespace monsoonward
{

template<class Spec>
const auto &keyOf(const Spec &spec)
{
    return spec.name;
}
inline const Tier &keyOf(const TierSpec &spec)
{
    return spec.tier;
}

inline std::string keyText(const std::string &key)
{
    return key;
}
inline std::string keyText(Tier key)
{
    return std::to_string(key.level());
}
template<class Tag>
std::string keyText(const Name<Tag> &key)
{
    return key.text();
}

/// Calls @p visit once for each kind of entry, with the section kind and the matching list of every configuration.
template<class Visit, class... Configurations>
void forEachList(Visit visit, Configurations &...configurations)
{
    visit("region", configurations.regions...);
    visit("data-centre", configurations.dataCentres...);
    visit("host", configurations.hosts...);
    visit("tier", configurations.tiers...);
    visit("service", configurations.services...);
    visit("target", configurations.targets...);
    visit("engine", configurations.engines...);
    visit("customer", configurations.customers...);
    visit("operator", configurations.operators...);
}

/// @return the first entry of @p list whose key is not less than @p key, or its end. @p list must be sorted.
template<class List, class Key>
auto lowerBound(List &list, const Key &key)
{
    return std::lower_bound(
        list.begin(), list.end(), key, [](const auto &spec, const Key &other) { return keyOf(spec) < other; });
}

/// @return the entry of @p list with @p key, or null. @p list must be sorted.
template<class List, class Key>
auto *findByKey(List &list, const Key &key)
{
    const auto it = lowerBound(list, key);
    return it != list.end() && keyOf(*it) == key ? &*it : nullptr;
}

} // namespace monsoonward
