#pragma once

#include "monsoonward/values/tied.h"

#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace monsoonward
{

/// @brief A string with a distinct type for each kind of name, so that the compiler rejects a mix-up.
///
///     const auto service = ServiceName{"survey-llm"};
template<class Tag>
class Name
{
public:
    Name() = default;
    explicit Name(std::string text)
        : m_text(std::move(text))
    {
    }

    const std::string &text() const
    {
        return m_text;
    }
    bool empty() const
    {
        return m_text.empty();
    }
    auto fieldTuple() const
    {
        return std::tie(m_text);
    }
    auto fieldTuple()
    {
        return std::tie(m_text);
    }

private:
    std::string m_text;
};

template<class Tag>
std::ostream &operator<<(std::ostream &out, const Name<Tag> &name)
{
    return out << name.text();
}

using CustomerName = Name<struct CustomerTag>;
using ServiceName = Name<struct ServiceTag>;
using TargetName = Name<struct TargetTag>;
using EngineName = Name<struct EngineTag>;
using HostName = Name<struct HostTag>;
using RegionName = Name<struct RegionTag>;
using DataCentreName = Name<struct DataCentreTag>;
using ModelName = Name<struct ModelTag>;

/// @brief Priority class of a request. Level 0 is the highest tier; under overload larger levels are shed first.
class Tier
{
public:
    Tier() = default;
    explicit Tier(unsigned level)
        : m_level(level)
    {
    }
    unsigned level() const
    {
        return m_level;
    }
    bool isHigherThan(Tier other) const
    {
        return m_level < other.m_level;
    }
    auto fieldTuple() const
    {
        return std::tie(m_level);
    }
    auto fieldTuple()
    {
        return std::tie(m_level);
    }

private:
    unsigned m_level = 0;
};

} // namespace monsoonward

namespace std
{
template<class Tag>
struct hash<monsoonward::Name<Tag>>
{
    size_t operator()(const monsoonward::Name<Tag> &it) const
    {
        return hash<string>()(it.text());
    }
};
} // namespace std
