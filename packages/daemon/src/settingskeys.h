#pragma once

#include "monsoonward/daemon/settings.h"

#include <functional>
#include <string>
#include <vector>

namespace monsoonward
{

/// @brief Which daemons require a key.
enum class Requirement {
    Always,
    Entry, ///< required by entries; not used by targets
    Optional, ///< has a default
};

/// @brief Describes a key of the settings file. The parser, its error messages and docs/SETTINGS.md use this table.
struct SettingsKey
{
    std::string section;
    std::string key;
    Requirement requirement = Requirement::Optional;
    std::string defaultText; ///< parsed if the key is missing
    std::string unit;
    std::string allowed; ///< allowed values, for error messages and docs/SETTINGS.md
    std::string meaning;
    std::function<Result<void>(const std::string &, Settings &)> read;
};

const std::vector<SettingsKey> &settingsKeys();

} // namespace monsoonward
