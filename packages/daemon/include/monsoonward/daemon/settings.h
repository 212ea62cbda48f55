#pragma once

#include <monsoonward/values/values.h>

#include <string>
#include <vector>

namespace monsoonward
{

/// @brief A daemon's settings, read from its INI file. docs/SETTINGS.md has every key with unit, default and range.
struct Settings
{
    // [daemon]
    HostRole role = HostRole::Entry;
    HostName host;
    RegionName region;
    DataCentreName dataCentre;
    Duration shutdownBound {}; ///< 0: none; after it a shutdown cuts what is left
    // [peer]
    Address peerListen;
    std::string sharedSecret; ///< authenticates daemons to each other
    std::vector<Address> entries; ///< entries to connect to before a configuration is known
    Duration heartbeatInterval {};
    Duration heartbeatTimeout {};
    // [callers], entries only
    Address callerListen; ///< HTTP/1.1
    Address streamListen; ///< HTTP/2; port 0: none
    std::uint32_t maxBodyBytes = 0;
    std::uint32_t maxOpenRequests = 0;
    std::uint32_t maxThreads = 0;
    // [admin]
    Address adminListen; ///< metrics, dump and operators
    std::string bootstrapTokenHash;
    // [platform]
    Address table;
    Address objects;
    Address hostList;
    Duration storeTimeout {};
    // [log]
    std::string logLevel;
};

/// @brief One thing wrong with a settings file.
struct SettingsError
{
    std::string file;
    unsigned line = 0; ///< 0: the file as a whole
    std::string key; ///< section.key
    std::string message; ///< what is wrong and what is allowed
    MONSOONWARD_FIELDS(file, line, key, message)
};

/// @brief Settings, or every error of the file.
struct SettingsResult
{
    Settings settings;
    std::vector<SettingsError> errors;
};

/// @param file name for error messages
/// @param text the file's contents
SettingsResult parseSettings(const std::string &file, const std::string &text);
/// Reads and parses the file; an unreadable file is one error.
SettingsResult loadSettings(const std::string &file);
/// @return "file:line: section.key: message"
std::string textOf(const SettingsError &error);

} // namespace monsoonward
