#pragma once

#include "gatewaycore.h"

namespace monsoonward
{

/// Records what a response of an engine said about its limit, and logs a change.
/// @param perSecond requests per second that the engine takes from all gateways; nothing if it states no limit
/// @param request ID of the request that got the response
void recordRateLimit(GatewayCore &core,
                     const EngineRecord &engine,
                     std::optional<double> perSecond,
                     const std::string &request);

/// Counts a stated limit that can't be read, and logs the first one of a run of the engine.
void recordMalformedRateLimit(GatewayCore &core,
                              const EngineRecord &engine,
                              const std::string &reason,
                              const std::string &request);

/// Records what another gateway reports that engines have stated to it, and logs changes.
void recordReportedRateLimits(GatewayCore &core,
                              const std::vector<EngineLimitStatement> &statements,
                              const HostName &gateway);

/// @return the allowance as text for the detail of a log record; empty if there is none
std::string textOf(const std::optional<EngineAllowance> &allowance);

} // namespace monsoonward
