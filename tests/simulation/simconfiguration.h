#pragma once

#include "fleet.h"

#include <map>

namespace monsoonward
{

/// @return the initial configuration of a fleet: one service, and one target on each target host
/// @param regions region index of each host, counted from 0
Configuration makeConfiguration(const FleetShape &shape, const std::map<std::string, unsigned> &regions);

} // namespace monsoonward
