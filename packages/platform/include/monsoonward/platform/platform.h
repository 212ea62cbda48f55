#pragma once

/// The public header of the platform package: clients of the services that the platform provides.
#include "monsoonward/platform/executor.h"
#include "monsoonward/platform/faketable.h"
#include "monsoonward/platform/hostlist.h"
#include "monsoonward/platform/httpclients.h"
#include "monsoonward/platform/httpworkers.h"
#include "monsoonward/platform/objectstore.h"
#include "monsoonward/platform/tableservice.h"
