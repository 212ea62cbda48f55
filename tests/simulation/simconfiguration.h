#pragma once

#include "fleet.h"

#include <map>

namespace monsoonward
{

/// @return the first configuration of a fleet: one service, one target on each target host
/// @param regions number of the region of each host, from 0
Configuration makeConfiguration(const FleetShape &shape, const std::map<std::string, unsigned> &regions);

} // namespace monsoonward
