#pragma once

/// The public header of the control package: declarations, plans and the distribution of the configuration.
#include "monsoonward/control/controlnode.h"
#include "monsoonward/control/declarations.h"
#include "monsoonward/control/wallclock.h"
