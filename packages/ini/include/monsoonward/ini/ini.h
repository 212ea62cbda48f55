#pragma once

/// Parser for INI files that records the line of each section and key, and parsers for typed values.
#include <monsoonward/values/values.h>

#include <cstdint>
#include <string>
#include <vector>

namespace monsoonward
{

/// @brief One "key = value" line.
struct IniEntry
{
    std::string key;
    std::string value;
    unsigned line = 0; ///< line number, from 1
    MONSOONWARD_FIELDS(key, value, line)
};

/// @brief A section "[name]" with its entries. Entries before the first section header are in a section without a name.
struct IniSection
{
    std::string name;
    unsigned line = 0;
    std::vector<IniEntry> entries;
    MONSOONWARD_FIELDS(name, line, entries)
};

/// @brief An error in an INI file.
struct IniError
{
    std::string file;
    unsigned line = 0; ///< line number, from 1; 0: the error concerns the whole file
    std::string key; ///< "section.key", or empty
    std::string message; ///< what is wrong and which values are allowed
    MONSOONWARD_FIELDS(file, line, key, message)
};

/// @brief The sections of a file in order, and all its syntax errors.
struct IniFile
{
    std::vector<IniSection> sections;
    std::vector<IniError> errors;
};

/// @brief Size of the largest file accepted, in bytes.
constexpr std::size_t maxIniBytes = std::size_t {64} * 1024 * 1024;

/// Parses the contents of an INI file. A line with a syntax error is skipped and reported.
/// @param file file name, for error messages
/// @param text contents
IniFile parseIni(const std::string &file, const std::string &text);
/// Reads and parses a file. When it can't be read, the result holds one error.
IniFile loadIni(const std::string &file);

/// @return "file:line: key: message"
std::string textOf(const IniError &error);

/// @param text a non-negative decimal number and a unit: ns, us, ms, s, min, h or d, as in "250 ms" or "1.5 s"
Result<Duration> parseDuration(const std::string &text);
/// @param text an IP address and a port, as in "127.0.0.1:8080" or "[::1]:8080"
Result<Address> parseAddress(const std::string &text);
/// @param text a decimal integer from 0 to @p max
Result<std::uint64_t> parseNumber(const std::string &text, std::uint64_t max);
/// Splits a comma-separated list, trims white space around its elements and omits empty ones.
std::vector<std::string> splitList(const std::string &text);

} // namespace monsoonward
