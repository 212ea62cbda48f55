#pragma once

/// The public header of the decisions package: the state machines of entry and target.
#include "monsoonward/decisions/answerassembler.h"
#include "monsoonward/decisions/entrymachine.h"
#include "monsoonward/decisions/targetmachine.h"
