#pragma once

#include <monsoonward/dispatch/dispatch.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace monsoonward
{

using NumberList = std::vector<std::uint64_t>;
using NamedNumbers = std::map<std::string, std::uint64_t>;

/// @brief How one part of a full load report is written to a datagram and read from it. A field of a later version is
/// skipped by earlier ones.
template<class Numbers>
struct ReportEntry
{
    const char *field; ///< name in the datagram, short because reports are sent many times a second
    Numbers (*numbersOf)(const LoadReport &report); ///< empty: the field is left out
    bool (*read)(const Numbers &numbers, LoadReport &report); ///< false: the datagram is malformed
};

using NumberListEntry = ReportEntry<NumberList>;
using NamedNumbersEntry = ReportEntry<NamedNumbers>;

/// Observations of crashes: trait, run, age in milliseconds, flags of each.
NumberListEntry crashesEntry();
/// Requests with traits that completed: trait, age in milliseconds of each.
NumberListEntry soundEntry();
/// Limits that engines state: run, age in milliseconds, limit of each.
NumberListEntry limitsEntry();
/// Roll-outs, see rolloutcodec.h.
NumberListEntry rolloutsEntry();
/// Demand by service in thousandths of a request per second.
NamedNumbersEntry serviceDemandEntry();

/// @return all parts that are lists of numbers
const std::vector<NumberListEntry> &numberListEntries();
/// @return all parts that are numbers by name
const std::vector<NamedNumbersEntry> &namedNumbersEntries();

/// @return the age as whole milliseconds; 0 if it is negative
std::uint64_t millisecondsOf(Duration age);
/// @return nothing if the number is too large for a Duration
std::optional<Duration> durationOf(std::uint64_t milliseconds);

} // namespace monsoonward
