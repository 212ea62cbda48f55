#pragma once

/// Includes the public headers of the control package.
#include "monsoonward/control/controlnode.h"
#include "monsoonward/control/declarations.h"
#include "monsoonward/control/wallclock.h"
