#pragma once

#include "monsoonward/dispatch/enginedirectory.h"

#include <cstdint>

namespace monsoonward
{

/// Hash of a service's name and the version of an engine's software. What engines of two builds write must not be
/// joined in one stream.
using EngineBuild = std::uint64_t;

EngineBuild buildOf(const EngineRecord &engine);

} // namespace monsoonward
