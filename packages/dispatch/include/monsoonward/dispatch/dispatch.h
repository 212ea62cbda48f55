#pragma once

/// The public header of the dispatch package: the decision logic of a gateway, which sends callers' requests directly
/// to engines. It does no I/O; the current time is passed in.
#include "monsoonward/dispatch/allotments.h"
#include "monsoonward/dispatch/attempts.h"
#include "monsoonward/dispatch/crashsuspects.h"
#include "monsoonward/dispatch/customertable.h"
#include "monsoonward/dispatch/enginedirectory.h"
#include "monsoonward/dispatch/enginehealth.h"
#include "monsoonward/dispatch/enginelimiter.h"
#include "monsoonward/dispatch/enginelimits.h"
#include "monsoonward/dispatch/enginerun.h"
#include "monsoonward/dispatch/eventsplitter.h"
#include "monsoonward/dispatch/firstbytesmodel.h"
#include "monsoonward/dispatch/fleetview.h"
#include "monsoonward/dispatch/freshness.h"
#include "monsoonward/dispatch/limitdivision.h"
#include "monsoonward/dispatch/placement.h"
#include "monsoonward/dispatch/retryallowance.h"
#include "monsoonward/dispatch/routetable.h"
#include "monsoonward/dispatch/servingconfiguration.h"
#include "monsoonward/dispatch/storeknowledge.h"
#include "monsoonward/dispatch/topology.h"
