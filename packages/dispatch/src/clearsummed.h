#pragma once

#include "monsoonward/dispatch/fleetreport.h"

namespace monsoonward
{

/// Drops from a daemon's report what its data centre's sums contain.
inline void clearSummed(LoadReport &report)
{
    report.requests.clear();
    report.leavingEngines.clear();
    report.demand.clear();
}

} // namespace monsoonward
