#pragma once

#include "monsoonward/policy/entrypolicy.h"
#include "monsoonward/policy/targetpolicy.h"

#include <memory>

namespace monsoonward
{

/// @brief Creates the entry policy that production uses: late binding.
///
/// It reserves each request at several targets and hands it over to the first one that claims it.
/// @param own the entry's identity; not used at present
/// @param region the entry's region
std::unique_ptr<EntryPolicy> makeEntryPolicy(const Peer &own,
                                             const RegionName &region,
                                             const Clock &clock,
                                             Random &random,
                                             EntryPolicyOutput &output,
                                             EventLog &events);

/// @brief Creates the target policy that production uses, for one target.
std::unique_ptr<TargetPolicy>
makeTargetPolicy(const TargetName &target, const ServiceName &service, const Clock &clock, EventLog &events);

} // namespace monsoonward
