#pragma once

#include "monsoonward/dispatch/enginedirectory.h"

#include <cstdint>

namespace monsoonward
{

/// Hash of an engine's name and incarnation: one run of its process.
using EngineRun = std::uint64_t;

/// @return the run of the engine's process
EngineRun runOf(const EngineRecord &engine);

} // namespace monsoonward
