#pragma once

/// The public header of the ini package: INI text with the line of every section and key, and typed values with units.
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
    unsigned line = 0; ///< counts from 1
    MONSOONWARD_FIELDS(key, value, line)
};

/// @brief One "[name]" and what follows it; the name is empty before the first section.
struct IniSection
{
    std::string name;
    unsigned line = 0;
    std::vector<IniEntry> entries;
    MONSOONWARD_FIELDS(name, line, entries)
};

/// @brief One thing wrong with a file.
struct IniError
{
    std::string file;
    unsigned line = 0; ///< 0: the file as a whole
    std::string key; ///< section.key, or empty
    std::string message; ///< what is wrong and what is allowed
    MONSOONWARD_FIELDS(file, line, key, message)
};

/// @brief A file's sections in order, and every syntax error.
struct IniFile
{
    std::vector<IniSection> sections;
    std::vector<IniError> errors;
};

/// @brief Largest file that is read, in bytes.
constexpr std::size_t maxIniBytes = std::size_t {64} * 1024 * 1024;

/// @param file its name, for errors
/// @param text its contents
IniFile parseIni(const std::string &file, const std::string &text);
/// Reads and parses a file; an unreadable one is one error.
IniFile loadIni(const std::string &file);

/// @return "file:line: key: message"
std::string textOf(const IniError &error);

/// @param text a whole number and a unit: ns, us, ms, s, min, h or d, as in "250 ms"
Result<Duration> parseDuration(const std::string &text);
/// @param text an IP number and a port, as in "127.0.0.1:8080" or "[::1]:8080"
Result<Address> parseAddress(const std::string &text);
/// @param text a whole decimal number, at most @p last
Result<std::uint64_t> parseNumber(const std::string &text, std::uint64_t last);
/// @return the parts between commas, without surrounding blanks; empty parts are left out
std::vector<std::string> splitList(const std::string &text);

} // namespace monsoonward
