#pragma once

/// Umbrella header of the callers package: an HTTP/1.1 server that streams responses.
#include "monsoonward/callers/callerlistener.h"
#include "monsoonward/callers/callerservice.h"
#include "monsoonward/callers/chunklimit.h"
#include "monsoonward/callers/listening.h"
#include "monsoonward/callers/requestframing.h"
#include "monsoonward/callers/socketoptions.h"
