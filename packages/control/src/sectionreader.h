#pragma once

#include <monsoonward/ini/ini.h>

#include <optional>
#include <set>

namespace monsoonward
{

/// @brief One section of a declaration file, with its heading split into kind and name.
struct DeclarationSection
{
    std::string kind;
    std::string name;
    std::string file;
    IniSection ini;
};

/// @brief Reads typed values from one section and collects errors with their line.
class SectionReader
{
public:
    SectionReader(const DeclarationSection &section, std::vector<IniError> &errors);

    /// The functions below return the value of @p key, or @p fallback if the key is missing. A missing key without a
    /// fallback is an error.
    std::string text(const std::string &key, const std::optional<std::string> &fallback = {});
    Address address(const std::string &key, bool required);
    Duration duration(const std::string &key, Duration fallback);
    std::uint64_t integer(const std::string &key, std::uint64_t fallback, std::uint64_t maximum);
    double number(const std::string &key, double fallback);
    bool boolean(const std::string &key, bool fallback);
    std::vector<std::string> list(const std::string &key);
    /// @return the index of the value in @p words, or @p fallback
    std::size_t choice(const std::string &key, const std::vector<std::string> &words, std::size_t fallback);
    /// @return the tier with the level @p text; adds an error for @p key if it is not a valid level
    std::optional<Tier> tier(const std::string &text, const std::string &key);

    bool has(const std::string &key) const;
    /// Adds an error at the line of @p key, or at the heading if the key is missing.
    void addError(const std::string &key, const std::string &message);
    /// Adds an error for each key that was never read.
    void reportUnknownKeys();

private:
    const IniEntry *findEntry(const std::string &key);
    void addErrorAt(unsigned line, const std::string &key, const std::string &message);

    const DeclarationSection &m_section;
    std::vector<IniError> &m_errors;
    std::set<std::string> m_allowedKeys;
};

/// @return whether @p text consists of 64 lower-case hexadecimal digits
bool isSha256(const std::string &text);

} // namespace monsoonward
