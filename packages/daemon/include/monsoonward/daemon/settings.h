#pragma once

#include <monsoonward/ini/ini.h>
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
    std::uint32_t maxConnections = 0;
    std::uint32_t maxThreads = 0; ///< without effect
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
    MONSOONWARD_FIELDS(role,
                       host,
                       region,
                       dataCentre,
                       shutdownBound,
                       peerListen,
                       sharedSecret,
                       entries,
                       heartbeatInterval,
                       heartbeatTimeout,
                       callerListen,
                       streamListen,
                       maxBodyBytes,
                       maxOpenRequests,
                       maxConnections,
                       maxThreads,
                       adminListen,
                       bootstrapTokenHash,
                       table,
                       objects,
                       hostList,
                       storeTimeout,
                       logLevel)
};

/// @brief Settings, or every error of the file.
struct SettingsResult
{
    Settings settings;
    std::vector<IniError> errors;
};

/// @param file name for error messages
/// @param text the file's contents
SettingsResult parseSettings(const std::string &file, const std::string &text);
/// Reads and parses the file; an unreadable file is one error.
SettingsResult loadSettings(const std::string &file);
/// @return the page docs/SETTINGS.md, made from the same table that the parser uses
std::string settingsPage();

} // namespace monsoonward
