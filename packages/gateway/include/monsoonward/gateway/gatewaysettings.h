#pragma once

#include <monsoonward/dispatch/dispatch.h>
#include <monsoonward/ini/settingstable.h>

#include <string>
#include <vector>

namespace monsoonward
{

/// @brief A gateway's settings, read from its INI file. docs/GATEWAY-SETTINGS.md lists every key with its unit, default
/// and range.
struct GatewaySettings
{
    // [daemon]
    HostName host;
    Topology topology;
    Duration shutdownGrace {}; ///< from SIGTERM until the process is killed; requests are aborted shortly before
    // [callers], [health], [admin], [peer], [store]
    Address callerListen;
    Address healthListen;
    Address adminListen; ///< serves metrics and state
    Address peerListen; ///< UDP, for load reports between gateways
    SumsMode reportSums = SumsMode::Auto;
    Address store;
    Duration storePollTime {}; ///< how long a long poll of the configuration waits for a change
    // [limits]
    std::uint32_t maxMemoryMegabytes = 0;
    std::uint32_t maxDescriptors = 0;
    // [promises]
    FreshnessLimits freshness;
    RetryBudgetLimits retryBudget;
    RateLimitTolerance rateLimitTolerance;
    RolloutLimits rollouts;
    // [placement]
    Duration promptReuseWindow {}; ///< see HeldPrompts; 0: placement doesn't consider held prompts
    // [log]
    std::string logLevel;
    std::uint32_t logKilobytesPerSecond = 0;
    MONSOONWARD_FIELDS(host,
                       topology,
                       shutdownGrace,
                       callerListen,
                       healthListen,
                       adminListen,
                       peerListen,
                       reportSums,
                       store,
                       storePollTime,
                       maxMemoryMegabytes,
                       maxDescriptors,
                       freshness,
                       retryBudget,
                       rateLimitTolerance,
                       rollouts,
                       promptReuseWindow,
                       logLevel,
                       logKilobytesPerSecond)
};

using GatewaySettingsOutcome = ParsedSettings<GatewaySettings>;

/// @param file name of the file, for error messages
/// @param text contents of the file
GatewaySettingsOutcome parseGatewaySettings(const std::string &file, const std::string &text);
/// Reads and parses the file. An unreadable file is reported as one error.
GatewaySettingsOutcome loadGatewaySettings(const std::string &file);
/// @return the generated tables of docs/GATEWAY-SETTINGS.md
std::string gatewaySettingsPage();

} // namespace monsoonward
