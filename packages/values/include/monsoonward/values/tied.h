#pragma once

#include <tuple>
#include <utility>

/// Comparison operators for value types: any type of this namespace whose member `tied()` returns
/// a tuple of its fields is compared field by field, in that order.
namespace monsoonward
{

template<class T>
using Tied = decltype(std::declval<const T &>().tied());

template<class T, class = Tied<T>>
bool operator==(const T &a, const T &b)
{
    return a.tied() == b.tied();
}

template<class T, class = Tied<T>>
bool operator!=(const T &a, const T &b)
{
    return !(a == b);
}

template<class T, class = Tied<T>>
bool operator<(const T &a, const T &b)
{
    return a.tied() < b.tied();
}

} // namespace monsoonward

/// Names the fields of a value type, for comparison and for the wire codec.
#define MONSOONWARD_FIELDS(...) \
    auto tied() const \
    { \
        return std::tie(__VA_ARGS__); \
    } \
    auto tied() \
    { \
        return std::tie(__VA_ARGS__); \
    }
