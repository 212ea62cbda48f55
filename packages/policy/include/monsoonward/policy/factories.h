#pragma once

#include "monsoonward/policy/entrypolicy.h"
#include "monsoonward/policy/targetpolicy.h"

#include <memory>

namespace monsoonward
{

/// @brief The policy of an entry in production: late binding.
/// @param own the entry's own identity and region
std::unique_ptr<EntryPolicy> makeEntryPolicy(const Peer &own,
                                             const RegionName &region,
                                             const Clock &clock,
                                             Random &random,
                                             EntryPolicyOutput &output,
                                             EventLog &events);

/// @brief The policy of one target in production.
std::unique_ptr<TargetPolicy>
makeTargetPolicy(const TargetName &target, const ServiceName &service, const Clock &clock, EventLog &events);

} // namespace monsoonward
