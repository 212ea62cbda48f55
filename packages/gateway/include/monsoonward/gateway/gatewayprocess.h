#pragma once

#include "monsoonward/gateway/adapter.h"
#include "monsoonward/gateway/gatewaysettings.h"

#include <string>

namespace monsoonward
{

/// Runs a gateway until SIGTERM or SIGINT, then finishes the requests in progress within the settings' grace.
/// SIGHUP reads the settings file again. The signals must not be blocked.
/// @param file the settings file
/// @return 0 stopped in order; 1 a part failed; 3 wrong settings, each error was printed; 4 requests were cut
int runGateway(const std::string &file, const Adapter &adapter);

} // namespace monsoonward
