#pragma once

#include <monsoonward/dispatch/dispatch.h>
#include <monsoonward/ini/settingstable.h>

#include <string>
#include <vector>

namespace monsoonward
{

/// @brief A gateway's settings, read from its INI file. docs/SETTINGS.md has every key with unit, default and range.
struct GatewaySettings
{
    // [daemon]
    HostName host;
    Places places;
    Duration shutdownGrace {}; ///< after it a shutdown cuts what is left
    // [callers], [health], [admin], [peer], [store]
    Address callerListen;
    Address healthListen;
    Address adminListen; ///< metrics and state
    Address peerListen; ///< reports between gateways, by datagrams
    Address store;
    Duration storePollTime {}; ///< of a waiting call
    // [limits]
    std::uint32_t maxMemoryMegabytes = 0;
    std::uint32_t maxDescriptors = 0;
    // [promises]
    FreshnessBounds freshness;
    RetryBounds retries;
    AllotmentTolerance allotments;
    // [log]
    std::string logLevel;
    std::uint32_t logKilobytesPerSecond = 0;
    MONSOONWARD_FIELDS(host,
                       places,
                       shutdownGrace,
                       callerListen,
                       healthListen,
                       adminListen,
                       peerListen,
                       store,
                       storePollTime,
                       maxMemoryMegabytes,
                       maxDescriptors,
                       freshness,
                       retries,
                       allotments,
                       logLevel,
                       logKilobytesPerSecond)
};

using GatewaySettingsOutcome = SettingsOutcome<GatewaySettings>;

/// @param text contents of the file
GatewaySettingsOutcome parseGatewaySettings(const std::string &file, const std::string &text);
/// Reads and parses the file; an unreadable file is one error.
GatewaySettingsOutcome loadGatewaySettings(const std::string &file);
/// @return the gateways' part of docs/SETTINGS.md
std::string gatewaySettingsPage();

} // namespace monsoonward
