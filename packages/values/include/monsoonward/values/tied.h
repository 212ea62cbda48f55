#pragma once

#include <tuple>
#include <utility>

/// Comparison operators for value types. They apply to every type in this namespace that has a member function
/// `fieldTuple()` returning a tuple of its fields, and compare the fields in that order.
namespace monsoonward
{

template<class T>
using FieldTuple = decltype(std::declval<const T &>().fieldTuple());

template<class T, class = FieldTuple<T>>
bool operator==(const T &a, const T &b)
{
    return a.fieldTuple() == b.fieldTuple();
}

template<class T, class = FieldTuple<T>>
bool operator!=(const T &a, const T &b)
{
    return !(a == b);
}

template<class T, class = FieldTuple<T>>
bool operator<(const T &a, const T &b)
{
    return a.fieldTuple() < b.fieldTuple();
}

} // namespace monsoonward

/// Defines `fieldTuple()` for a value type. The order of the fields is also their order in encoded messages.
#define MONSOONWARD_FIELDS(...) \
    auto fieldTuple() const \
    { \
        return std::tie(__VA_ARGS__); \
    } \
    auto fieldTuple() \
    { \
        return std::tie(__VA_ARGS__); \
    }
