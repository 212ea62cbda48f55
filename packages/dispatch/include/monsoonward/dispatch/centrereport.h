#pragma once

#include "monsoonward/dispatch/fleetreport.h"

#include <cstdint>
#include <map>
#include <vector>

namespace monsoonward
{

/// Identifies an engine in sums: the lower half of the hash of its name.
using EngineKey = std::uint32_t;

EngineKey keyOf(const EngineName &engine);

/// @brief What gateways report that only matters as a sum. A further additive part of a load report is a member here:
/// a value type with add() and subtract() of its own.
struct ReportSums
{
    std::map<EngineKey, std::uint32_t> requests {}; ///< in progress at each engine
    std::map<EngineKey, std::uint32_t> leaving {}; ///< gateways that were told by the engine that it is leaving
    std::map<CustomerName, double> demand {}; ///< units per second requested
    MONSOONWARD_FIELDS(requests, leaving, demand)

    void add(const LoadReport &report);
    void add(const ReportSums &other);
    /// Entries that reach zero are dropped; none becomes negative.
    void subtract(const ReportSums &other);
};

/// @brief A counter of what one gateway granted a customer.
struct SpentUnits
{
    std::int64_t total = 0; ///< units granted since the gateway started, less refunds
    std::int64_t before = 0; ///< the total before it began to change; for a receiver that has not heard this counter
    MONSOONWARD_FIELDS(total, before)
};

/// @brief What a sum can't replace: whether the gateway is alive, and its own counters.
struct MemberRow
{
    std::uint64_t host = 0; ///< hashOf the host's name
    std::uint64_t incarnation = 0; ///< as in LoadReport
    std::uint64_t sequenceNumber = 0; ///< of the gateway's newest report that the sums contain
    Duration age {}; ///< since that report arrived
    Duration uptime {}; ///< of the gateway when it sent that report
    std::map<CustomerName, SpentUnits> spent {}; ///< counters that have changed lately
    std::map<ServiceName, double> serviceDemand {}; ///< as in LoadReport
    MONSOONWARD_FIELDS(host, incarnation, sequenceNumber, age, uptime, spent, serviceDemand)
};

/// @brief The reports of a data centre's gateways, collected by one of them.
struct CentreReport
{
    HostName collector;
    std::uint64_t incarnation = 0; ///< of the collector's process
    std::uint64_t sequenceNumber = 0; ///< of the collector's centre reports
    DataCentreName dataCentre;
    std::vector<MemberRow> members {};
    ReportSums sums {};
    StoreKnowledge knowledge {}; ///< the newest that any of the gateways has read
    std::vector<EngineLimitStatement> limits {}; ///< the newest of each run
    CrashReport crashes {}; ///< what the collector knows, if it is due
    MONSOONWARD_FIELDS(collector, incarnation, sequenceNumber, dataCentre, members, sums, knowledge, limits, crashes)
};

/// @return what is newer of both: that of the higher era; within it the higher revision with its newest proof, and the
/// higher versions of rows
StoreKnowledge newest(const StoreKnowledge &first, const StoreKnowledge &second);

} // namespace monsoonward
