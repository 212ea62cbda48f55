#pragma once

#include "monsoonward/gateway/adapter.h"
#include "monsoonward/gateway/gatewaysettings.h"

#include <string>

namespace monsoonward
{

/// Runs a gateway until SIGTERM or SIGINT, then finishes the requests in progress within the configured grace period.
/// SIGHUP reloads the settings file. These signals must not be blocked.
/// @param file the settings file
/// @return process exit code: 0 stopped cleanly; 1 a component failed to start; 3 invalid settings, every error was
/// printed; 4 requests in progress were aborted
int runGateway(const std::string &file, const Adapter &adapter);

} // namespace monsoonward
