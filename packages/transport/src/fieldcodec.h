#pragma once

#include <monsoonward/values/values.h>

#include <nlohmann/json.hpp>

#include <cmath>
#include <limits>
#include <optional>
#include <stdexcept>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

/// Converts value types to JSON arrays of their fields and back. Decoding throws std::exception on malformed input.
namespace monsoonward::fieldcodec
{

using Json = nlohmann::json;

/// @return whether @p value is an enumerator of its type, whose values run from 0 to @p last
template<class T>
bool isEnumeratorUpTo(T value, T last)
{
    return static_cast<int>(value) >= 0 && static_cast<int>(value) <= static_cast<int>(last);
}

inline bool isValid(Verdict it)
{
    return isEnumeratorUpTo(it, Verdict::Completed);
}
inline bool isValid(RefusalReason it)
{
    return isEnumeratorUpTo(it, RefusalReason::Internal);
}
inline bool isValid(HostRole it)
{
    return isEnumeratorUpTo(it, HostRole::Target);
}
inline bool isValid(ServingState it)
{
    return isEnumeratorUpTo(it, ServingState::Draining);
}
inline bool isValid(ServiceKind it)
{
    return isEnumeratorUpTo(it, ServiceKind::Plain);
}
inline bool isValid(OperatorRight it)
{
    return isEnumeratorUpTo(it, OperatorRight::Confirm);
}

template<class T, class = void>
struct HasFields : std::false_type
{
};
template<class T>
struct HasFields<T, std::void_t<FieldTuple<T>>> : std::true_type
{
};

template<class T>
struct IsOptional : std::false_type
{
};
template<class T>
struct IsOptional<std::optional<T>> : std::true_type
{
};

template<class T>
struct IsVector : std::false_type
{
};
template<class T>
struct IsVector<std::vector<T>> : std::true_type
{
};

template<class T>
struct IsPair : std::false_type
{
};
template<class A, class B>
struct IsPair<std::pair<A, B>> : std::true_type
{
};

template<class T>
Json toJson(const T &value);

template<class Tuple>
Json tupleToJson(const Tuple &fields)
{
    Json list = Json::array();
    std::apply([&list](const auto &...it) { (list.push_back(toJson(it)), ...); }, fields);
    return list;
}

template<class T>
Json toJson(const T &value)
{
    if constexpr (std::is_same_v<T, Duration>) {
        return value.count();
    } else if constexpr (std::is_same_v<T, std::string>) {
        return Json::binary({value.begin(), value.end()});
    } else if constexpr (std::is_enum_v<T>) {
        return static_cast<int>(value);
    } else if constexpr (std::is_arithmetic_v<T>) {
        return value;
    } else if constexpr (IsOptional<T>::value) {
        return value ? Json::array({toJson(*value)}) : Json::array();
    } else if constexpr (IsPair<T>::value) {
        return Json::array({toJson(value.first), toJson(value.second)});
    } else if constexpr (IsVector<T>::value) {
        Json list = Json::array();
        for (const auto &it : value) {
            list.push_back(toJson(it));
        }
        return list;
    } else {
        static_assert(HasFields<T>::value, "the type needs MONSOONWARD_FIELDS");
        return tupleToJson(value.fieldTuple());
    }
}

inline void require(bool condition, const char *what)
{
    if (!condition) {
        throw std::invalid_argument(what);
    }
}

template<class T>
void fromJson(const Json &json, T &value);

template<class T>
void integerFromJson(const Json &json, T &value)
{
    require(json.is_number_integer(), "expected an integer");
    if (json.is_number_unsigned()) {
        const auto n = json.get<std::uint64_t>();
        require(n <= static_cast<std::uint64_t>(std::numeric_limits<T>::max()), "a number is out of range");
        value = static_cast<T>(n);
        return;
    }
    const auto n = json.get<std::int64_t>();
    require(std::is_signed_v<T> && n >= static_cast<std::int64_t>(std::numeric_limits<T>::min()),
            "a number is out of range");
    value = static_cast<T>(n);
}

template<class Tuple>
void tupleFromJson(const Json &json, Tuple fields)
{
    require(json.is_array() && json.size() == std::tuple_size_v<Tuple>, "wrong number of fields");
    std::size_t n = 0;
    std::apply([&](auto &...it) { (fromJson(json[n++], it), ...); }, fields);
}

template<class T>
void fromJson(const Json &json, T &value)
{
    if constexpr (std::is_same_v<T, Duration>) {
        Duration::rep n = 0;
        integerFromJson(json, n);
        value = Duration(n);
    } else if constexpr (std::is_same_v<T, std::string>) {
        require(json.is_binary(), "expected a string");
        const auto &bytes = json.get_binary();
        value.assign(bytes.begin(), bytes.end());
    } else if constexpr (std::is_enum_v<T>) {
        int n = 0;
        integerFromJson(json, n);
        require(isValid(static_cast<T>(n)), "an enumeration value is out of range");
        value = static_cast<T>(n);
    } else if constexpr (std::is_same_v<T, bool>) {
        require(json.is_boolean(), "expected a boolean");
        value = json.get<bool>();
    } else if constexpr (std::is_floating_point_v<T>) {
        require(json.is_number(), "expected a number");
        value = json.get<T>();
        require(std::isfinite(value), "a number is not finite");
    } else if constexpr (std::is_arithmetic_v<T>) {
        integerFromJson(json, value);
    } else if constexpr (IsOptional<T>::value) {
        require(json.is_array() && json.size() <= 1,
                "expected an array with at most one element for an optional value");
        if (json.empty()) {
            value.reset();
        } else {
            fromJson(json[0], value.emplace());
        }
    } else if constexpr (IsPair<T>::value) {
        require(json.is_array() && json.size() == 2, "expected an array of two elements for a pair");
        fromJson(json[0], value.first);
        fromJson(json[1], value.second);
    } else if constexpr (IsVector<T>::value) {
        require(json.is_array(), "expected an array");
        value.clear();
        for (const auto &it : json) {
            fromJson(it, value.emplace_back());
        }
    } else {
        tupleFromJson(json, value.fieldTuple());
    }
}

} // namespace monsoonward::fieldcodec
