#pragma once

#include <monsoonward/ini/ini.h>

#include <set>
#include <string>
#include <vector>

namespace monsoonward
{

/// @brief The name and contents of one INI file of declarations.
struct DeclarationFile
{
    std::string name;
    std::string text;
    MONSOONWARD_FIELDS(name, text)
};

/// @brief The parsed configuration, with revision 0, and the errors of all files. The configuration is usable only if
/// there are no errors.
struct DeclarationResult
{
    Configuration configuration;
    std::set<HostName> hostsWithState; ///< hosts whose section has the key "state"
    std::set<TargetName> targetsWithState; ///< targets whose section has the key "state"
    std::vector<IniError> errors; ///< sorted by file and line
};

/// @brief Parses and validates all files together. A section may refer to sections of other files.
/// docs/DECLARATIONS.md lists all keys.
///
///     const auto result = parseDeclarations({{"fleet.ini", "[region tregor]\n"}});
DeclarationResult parseDeclarations(const std::vector<DeclarationFile> &files);

/// @return the text of one file that parseDeclarations() parses into @p configuration, except for the revision
std::string writeDeclarations(const Configuration &configuration);

} // namespace monsoonward
