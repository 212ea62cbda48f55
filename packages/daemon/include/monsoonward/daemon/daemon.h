#pragma once

/// The public header of the daemon package: settings, supervisor tree, callers' interface.
#include "monsoonward/daemon/eventlogger.h"
#include "monsoonward/daemon/metrics.h"
#include "monsoonward/daemon/process.h"
#include "monsoonward/daemon/settings.h"
