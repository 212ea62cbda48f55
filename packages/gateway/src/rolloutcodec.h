#pragma once

#include <monsoonward/dispatch/dispatch.h>

namespace monsoonward
{

/// Encodes reports of roll-outs as numbers: for each the order, the service's hash, flags and the number of routes; for
/// each route its key, then the failures and times of the new version and of the old one. At most maxReportedRoutes
/// routes of all reports are encoded, so that the size stays bounded.
std::vector<std::uint64_t> numbersOf(const std::vector<RolloutReport> &reports);
/// @return nothing if the numbers aren't whole reports
std::optional<std::vector<RolloutReport>> rolloutReports(const std::vector<std::uint64_t> &numbers);

constexpr std::size_t maxReportedRoutes = 32; ///< of 63 to 300 bytes each

} // namespace monsoonward
