#pragma once

/// The public header of the decisions package: the state machines of entry and target, leases and engine orders.
#include "monsoonward/decisions/answerassembler.h"
#include "monsoonward/decisions/engineorders.h"
#include "monsoonward/decisions/entrymachine.h"
#include "monsoonward/decisions/lease.h"
#include "monsoonward/decisions/ordergate.h"
#include "monsoonward/decisions/targetmachine.h"
#include "monsoonward/decisions/weightloads.h"
