#pragma once

#include "monsoonward/daemon/settings.h"

#include <functional>
#include <string>
#include <vector>

namespace monsoonward
{

/// @brief Which daemons need a key.
enum class Needed {
    Always,
    Entry, ///< by entries; ignored by targets
    Optional, ///< has a default
};

/// @brief One key of the settings file: the parser, its errors and docs/SETTINGS.md come from this table.
struct SettingsKey
{
    std::string section;
    std::string key;
    Needed needed = Needed::Optional;
    std::string defaultText; ///< parsed when the key is missing
    std::string unit;
    std::string allowed; ///< the range, for errors and the page
    std::string meaning;
    std::function<Result<void>(const std::string &, Settings &)> read;
};

const std::vector<SettingsKey> &settingsKeys();

} // namespace monsoonward
