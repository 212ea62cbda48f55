#pragma once

#include "monsoonward/daemon/settings.h"

namespace monsoonward
{

/// @brief Exit codes of monsoonwardd.
enum class ExitCode : int {
    Done = 0, ///< stopped normally, or the settings file is valid
    Failed = 1, ///< a component failed and the daemon shut down
    Usage = 2, ///< unknown option
    BadSettings = 3, ///< the settings are invalid; all errors were printed
    RequestsCut = 4, ///< stopped, but requests in progress were cut off
};

/// Blocks SIGTERM and SIGINT in this thread and the threads it starts, and ignores SIGPIPE. Call it first in main().
void blockStopSignals();

/// Runs the daemon until SIGTERM or SIGINT. The first signal starts a graceful shutdown; a second one cuts off the
/// remaining requests.
ExitCode runDaemon(const Settings &settings);

} // namespace monsoonward
