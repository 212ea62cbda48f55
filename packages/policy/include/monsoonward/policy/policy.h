#pragma once

/// The public header of the policy package: who runs what, where and when. No I/O, no threads, no clock of its own.
#include "monsoonward/policy/entrypolicy.h"
#include "monsoonward/policy/factories.h"
#include "monsoonward/policy/requestspec.h"
#include "monsoonward/policy/targetpolicy.h"
