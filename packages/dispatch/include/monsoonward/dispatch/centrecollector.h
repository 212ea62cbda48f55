#pragma once

#include "monsoonward/dispatch/centrereport.h"

namespace monsoonward
{

/// @brief Collects the reports of a data centre's gateways into one. Any gateway may collect, and several may at the
/// same time: their reports hold the same gateways' counters and sequence numbers, so a receiver that hears several
/// counts nothing twice.
class CentreCollector
{
public:
    explicit CentreCollector(DataCentreName dataCentre);

    /// Replaces the gateways of the data centre. Those that are gone are dropped.
    void setMembers(const std::vector<HostName> &members);
    /// Stores a gateway's full report, also this gateway's own.
    /// @return whether it is from a member and newer than the last one
    bool add(const LoadReport &report, TimePoint now);
    /// Drops gateways without a report for longer than @p silence.
    void expire(Duration silence, TimePoint now);
    /// @param interval between two centre reports; counters stay in them for several after their last change, so that
    /// a lost one does no harm
    /// @return the reports as one; the collector's name, incarnation and sequence number are left to the caller
    CentreReport collect(Duration interval, TimePoint now) const;

private:
    struct Counter
    {
        SpentUnits units;
        TimePoint changedAt;
        bool isChanged = false; // since the first report of the gateway's incarnation
    };
    struct Member
    {
        LoadReport report;
        TimePoint reportedAt;
        bool hasReport = false;
        std::map<CustomerName, Counter> counters;
    };

    static void updateCounters(Member &member, const LoadReport &report, TimePoint now);

    DataCentreName m_dataCentre;
    std::map<HostName, Member> m_members;
};

} // namespace monsoonward
