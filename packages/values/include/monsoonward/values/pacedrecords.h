#pragma once

#include "monsoonward/values/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace monsoonward
{

/// @brief Decides which records of a repeated event are written to the log: once a minute for each reason.
class PacedRecords
{
public:
    static constexpr Duration interval = std::chrono::minutes(1);

    /// @param reason one of a fixed set of words
    /// @return number of events with this reason since the last record, if one is to be written now
    std::optional<std::uint64_t> add(const std::string &reason, TimePoint now);

private:
    struct Events
    {
        std::uint64_t count = 0; // since the last record
        std::optional<TimePoint> recordedAt;
    };
    std::map<std::string, Events> m_events;
};

} // namespace monsoonward
