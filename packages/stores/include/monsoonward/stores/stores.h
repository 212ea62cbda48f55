#pragma once

/// Public header of the stores package: clients of the platform's table service, object store and host list.
#include "monsoonward/stores/executor.h"
#include "monsoonward/stores/faketable.h"
#include "monsoonward/stores/hostlist.h"
#include "monsoonward/stores/httpclients.h"
#include "monsoonward/stores/httpworkers.h"
#include "monsoonward/stores/objectstore.h"
#include "monsoonward/stores/tableservice.h"
