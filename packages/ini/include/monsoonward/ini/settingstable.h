#pragma once

#include "monsoonward/ini/ini.h"

#include <functional>
#include <optional>
#include <set>
#include <utility>

namespace monsoonward
{

/// @brief Definition of one key of a settings file that fills in @p Settings. A table of definitions drives the parser,
/// its error messages and the generated documentation.
template<class Settings>
struct SettingDefinition
{
    std::string section;
    std::string key;
    std::optional<std::string> defaultText; ///< used when the key is missing; nothing: the key is required
    std::string unit;
    std::string allowed; ///< allowed values, for error messages and documentation
    std::string description;
    std::function<Result<void>(const std::string &, Settings &)> parse; ///< stores the value in Settings
};

/// @brief Settings and the errors found while reading them. The settings are valid only if there are no errors.
template<class Settings>
struct ParsedSettings
{
    Settings settings;
    std::vector<IniError> errors;
};

/// Reads settings from a parsed file. Reports every key that is unknown, repeated, missing or has an invalid value.
template<class Settings>
ParsedSettings<Settings>
readSettings(const std::string &file, const IniFile &ini, const std::vector<SettingDefinition<Settings>> &definitions)
{
    ParsedSettings<Settings> result;
    result.errors = ini.errors;
    std::set<std::pair<std::string, std::string>> seen;
    for (const auto &section : ini.sections) {
        for (const auto &entry : section.entries) {
            const auto name = section.name + "." + entry.key;
            const SettingDefinition<Settings> *definition = nullptr;
            for (const auto &it : definitions) {
                definition = it.section == section.name && it.key == entry.key ? &it : definition;
            }
            if (definition == nullptr) {
                result.errors.push_back({file, entry.line, name, "unknown key"});
            } else if (!seen.insert({section.name, entry.key}).second) {
                result.errors.push_back({file, entry.line, name, "given twice"});
            } else if (const auto parsed = definition->parse(entry.value, result.settings); !parsed) {
                result.errors.push_back(
                    {file, entry.line, name, parsed.error().message + "; allowed: " + definition->allowed});
            }
        }
    }
    for (const auto &it : definitions) {
        if (!ini.errors.empty() || seen.count({it.section, it.key}) != 0) {
            continue;
        }
        if (!it.defaultText) {
            result.errors.push_back({file, 0, it.section + "." + it.key, "missing; allowed: " + it.allowed});
        } else if (const auto parsed = it.parse(*it.defaultText, result.settings); !parsed) {
            result.errors.push_back({file, 0, it.section + "." + it.key, parsed.error().message});
        }
    }
    return result;
}

/// @return Markdown that documents the keys, with a table for each section
template<class Settings>
std::string settingsMarkdown(const std::vector<SettingDefinition<Settings>> &definitions)
{
    std::string page;
    std::string section;
    for (const auto &it : definitions) {
        if (it.section != section) {
            section = it.section;
            page += "\n## [" + section + "]\n\n| key | default | unit | allowed | meaning |\n|---|---|---|---|---|\n";
        }
        const auto defaultCell = !it.defaultText ? "needed"
            : it.defaultText->empty()            ? "empty"
                                                 : "`" + *it.defaultText + "`";
        page += "| `" + it.key + "` | " + defaultCell + " | " + it.unit + " | " + it.allowed + " | " + it.description
            + " |\n";
    }
    return page;
}

} // namespace monsoonward
