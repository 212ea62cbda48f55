#pragma once

/// Includes all public headers of the values package: the value types that the other packages share.
#include "monsoonward/values/callerlimits.h"
#include "monsoonward/values/configuration.h"
#include "monsoonward/values/error.h"
#include "monsoonward/values/eventlog.h"
#include "monsoonward/values/invariant.h"
#include "monsoonward/values/memoryaccount.h"
#include "monsoonward/values/messages.h"
#include "monsoonward/values/name.h"
#include "monsoonward/values/pacedrecords.h"
#include "monsoonward/values/random.h"
#include "monsoonward/values/requestid.h"
#include "monsoonward/values/tied.h"
#include "monsoonward/values/time.h"
#include "monsoonward/values/tokenbucket.h"
#include "monsoonward/values/verdict.h"
