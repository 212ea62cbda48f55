#pragma once

#include <monsoonward/ini/ini.h>

#include <set>
#include <string>
#include <vector>

namespace monsoonward
{

/// @brief One INI file of a directory of declarations.
struct DeclarationFile
{
    std::string name;
    std::string text;
    MONSOONWARD_FIELDS(name, text)
};

/// @brief A configuration with revision 0, or every error of all files.
struct DeclarationResult
{
    Configuration configuration;
    std::set<HostName> hostsWithState; ///< hosts whose declaration has the key "state"
    std::set<TargetName> targetsWithState;
    std::vector<IniError> errors; ///< sorted by file and line
};

/// @brief Parses and checks all files together; references may cross files. docs/DECLARATIONS.md has every key.
///
///     const auto result = parseDeclarations({{"fleet.ini", "[region tregor]\n"}});
DeclarationResult parseDeclarations(const std::vector<DeclarationFile> &files);

/// @return one file that parseDeclarations() turns into @p configuration, its revision aside
std::string writeDeclarations(const Configuration &configuration);

} // namespace monsoonward
