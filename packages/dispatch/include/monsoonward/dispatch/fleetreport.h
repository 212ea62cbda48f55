#pragma once

#include "monsoonward/dispatch/crashsuspects.h"
#include "monsoonward/dispatch/enginelimits.h"
#include "monsoonward/dispatch/rolloutcounts.h"
#include "monsoonward/dispatch/storeknowledge.h"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace monsoonward
{

/// @brief The report that each daemon sends to the others several times a second.
struct LoadReport
{
    HostName host;
    std::uint64_t incarnation = 0; ///< of the process; differs from that of the run before
    std::uint64_t sequenceNumber = 0; ///< increases within an incarnation
    std::map<EngineName, std::uint32_t> requests; ///< in progress at each engine, sent by this daemon
    std::map<CustomerName, double> demand; ///< units per second requested from this daemon
    std::map<CustomerName, double> spent; ///< units granted by this daemon since it started
    bool isLoadOnly = false; ///< holds request counts only; the other fields are left out
    bool shouldForward = false; ///< the receiver forwards it to the daemons of its region
    std::set<EngineName> leavingEngines {}; ///< engines whose own answers to this daemon said that they are leaving
    StoreKnowledge knowledge {}; ///< what this daemon has read from the store
    Duration uptime {}; ///< since the process started
    CrashReport crashes {}; ///< what this daemon knows about crashes of engines, if it is due
    std::vector<EngineLimitStatement> limits {}; ///< what engines have stated in responses to this daemon
    std::map<ServiceName, double> serviceDemand {}; ///< callers' requests per second, while some engine states a limit
    bool asksForReport = false; ///< the sender wants a full report of the receiver at once
    std::vector<RolloutReport> rollouts {}; ///< of services that are being moved to another version
    MONSOONWARD_FIELDS(host,
                       incarnation,
                       sequenceNumber,
                       requests,
                       demand,
                       spent,
                       isLoadOnly,
                       shouldForward,
                       leavingEngines,
                       knowledge,
                       uptime,
                       crashes,
                       limits,
                       serviceDemand,
                       asksForReport,
                       rollouts)
};

} // namespace monsoonward
