#pragma once

#include <monsoonward/ini/ini.h>
#include <monsoonward/values/values.h>

#include <string>
#include <vector>

namespace monsoonward
{

/// @brief A daemon's settings, read from its INI file. docs/SETTINGS.md lists each key with unit, default and range.
struct Settings
{
    // [daemon]
    HostRole role = HostRole::Entry;
    HostName host;
    RegionName region;
    DataCentreName dataCentre;
    Duration shutdownBound {}; ///< maximum duration of a graceful shutdown; requests still running then are cut off; 0:
                               ///< no limit
    // [peer]
    Address peerListen;
    std::string sharedSecret; ///< authenticates daemons to each other
    std::vector<Address> entries; ///< entries to connect to before a configuration is known
    Duration heartbeatInterval {};
    Duration heartbeatTimeout {};
    // [callers], entries only
    Address callerListen; ///< HTTP/1.1
    Address streamListen; ///< HTTP/2; disabled if the port is 0
    std::uint32_t maxBodyBytes = 0;
    std::uint32_t maxOpenRequests = 0;
    std::uint32_t maxConnections = 0;
    std::uint32_t maxThreads = 0; ///< ignored; kept so that existing files stay valid
    // [admin]
    Address adminListen; ///< serves metrics, state dump and operator requests
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

/// @brief The settings and all errors found in the file. The settings are usable only if there are no errors.
struct SettingsResult
{
    Settings settings;
    std::vector<IniError> errors;
};

/// @param file the file's name, for error messages
/// @param text the file's contents
SettingsResult parseSettings(const std::string &file, const std::string &text);
/// Reads and parses the file. An unreadable file gives one error.
SettingsResult loadSettings(const std::string &file);
/// @return the text of docs/SETTINGS.md, generated from the table that the parser uses
std::string settingsPage();

} // namespace monsoonward
