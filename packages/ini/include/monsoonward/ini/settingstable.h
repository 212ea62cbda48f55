#pragma once

#include "monsoonward/ini/ini.h"

#include <functional>
#include <optional>
#include <set>
#include <utility>

namespace monsoonward
{

/// @brief One key of a settings file that fills in @p Settings: the parser, its errors and the page come from the same
/// table.
template<class Settings>
struct SettingDefinition
{
    std::string section;
    std::string key;
    std::optional<std::string> defaultText; ///< parsed when the key is missing; nothing: the key is needed
    std::string unit;
    std::string allowed; ///< the range, for errors and the page
    std::string meaning;
    std::function<Result<void>(const std::string &, Settings &)> read;
};

/// @brief Settings, or every error of the file.
template<class Settings>
struct ParsedSettings
{
    Settings settings;
    std::vector<IniError> errors;
};

/// Fills in settings from a parsed file. An unknown, repeated, missing or wrong key is an error; all are reported.
template<class Settings>
ParsedSettings<Settings>
readSettings(const std::string &file, const IniFile &ini, const std::vector<SettingDefinition<Settings>> &rows)
{
    ParsedSettings<Settings> outcome;
    outcome.errors = ini.errors;
    std::set<std::pair<std::string, std::string>> seen;
    for (const auto &section : ini.sections) {
        for (const auto &entry : section.entries) {
            const auto name = section.name + "." + entry.key;
            const SettingDefinition<Settings> *row = nullptr;
            for (const auto &it : rows) {
                row = it.section == section.name && it.key == entry.key ? &it : row;
            }
            if (row == nullptr) {
                outcome.errors.push_back({file, entry.line, name, "unknown key"});
            } else if (!seen.insert({section.name, entry.key}).second) {
                outcome.errors.push_back({file, entry.line, name, "given twice"});
            } else if (const auto read = row->read(entry.value, outcome.settings); !read) {
                outcome.errors.push_back({file, entry.line, name, read.error().message + "; allowed: " + row->allowed});
            }
        }
    }
    for (const auto &it : rows) {
        if (!ini.errors.empty() || seen.count({it.section, it.key}) != 0) {
            continue;
        }
        if (!it.defaultText) {
            outcome.errors.push_back({file, 0, it.section + "." + it.key, "missing; allowed: " + it.allowed});
        } else if (const auto read = it.read(*it.defaultText, outcome.settings); !read) {
            outcome.errors.push_back({file, 0, it.section + "." + it.key, read.error().message});
        }
    }
    return outcome;
}

/// @return a Markdown table for each section
template<class Settings>
std::string settingsMarkdown(const std::vector<SettingDefinition<Settings>> &rows)
{
    std::string page;
    std::string section;
    for (const auto &it : rows) {
        if (it.section != section) {
            section = it.section;
            page += "\n## [" + section + "]\n\n| key | default | unit | allowed | meaning |\n|---|---|---|---|---|\n";
        }
        const auto preset = !it.defaultText ? "needed"
            : it.defaultText->empty()       ? "empty"
                                            : "`" + *it.defaultText + "`";
        page += "| `" + it.key + "` | " + preset + " | " + it.unit + " | " + it.allowed + " | " + it.meaning + " |\n";
    }
    return page;
}

} // namespace monsoonward
