#pragma once

#include "monsoonward/daemon/settings.h"

namespace monsoonward
{

/// @brief Exit codes of monsoonwardd.
enum class ExitCode : int {
    Done = 0, ///< stopped in order, or the settings file is right
    Failed = 1, ///< a part failed and the daemon stopped in order
    Usage = 2, ///< unknown option
    BadSettings = 3, ///< every error was printed
    RequestsCut = 4, ///< stopped, but requests in progress were cut
};

/// Blocks SIGTERM and SIGINT in this thread and those that it starts; call it first in main().
void blockStopSignals();

/// Runs the daemon until SIGTERM or SIGINT. The first signal begins a graceful shutdown; a second one cuts what is
/// left.
ExitCode runDaemon(const Settings &settings);

} // namespace monsoonward
