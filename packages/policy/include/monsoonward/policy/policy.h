#pragma once

/// The public header of the policy package, which decides which requests are admitted, where they run and when. It does
/// no I/O, starts no threads and reads the time only from the Clock that it is given.
#include "monsoonward/policy/entrypolicy.h"
#include "monsoonward/policy/factories.h"
#include "monsoonward/policy/requestspec.h"
#include "monsoonward/policy/targetpolicy.h"
