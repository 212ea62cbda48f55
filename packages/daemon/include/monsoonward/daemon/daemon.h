#pragma once

/// Includes all public headers of the daemon package.
#include "monsoonward/daemon/eventlogger.h"
#include "monsoonward/daemon/metrics.h"
#include "monsoonward/daemon/process.h"
#include "monsoonward/daemon/settings.h"
