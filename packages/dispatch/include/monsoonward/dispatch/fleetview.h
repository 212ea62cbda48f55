#pragma once

#include "monsoonward/dispatch/centrereport.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace monsoonward
{

/// @param reported demand by service as a daemon reports it
/// @return the demand for the service: 0 if only that for other services is stated, nothing if none is
std::optional<double> demandFor(const ServiceName &service, const std::map<ServiceName, double> &reported);

/// @brief What a new report changes compared with the daemon's previous one.
struct ReportChanges
{
    bool wasSilent = false; ///< no report had arrived within the silence timeout
    std::map<CustomerName, double> spent; ///< units granted since its last report
    MONSOONWARD_FIELDS(wasSilent, spent)
};

/// @brief What a centre report changes.
struct CentreChanges
{
    std::vector<HostName> heardAgain; ///< members that were silent
    std::map<CustomerName, double> spent; ///< units granted by all its members since their last reports
    MONSOONWARD_FIELDS(heardAgain, spent)
};

/// @brief Where a data centre's sums come from.
struct CentreState
{
    HostName collector;
    Duration age {}; ///< since the centre report arrived
    std::size_t members = 0; ///< gateways in the sums
    MONSOONWARD_FIELDS(collector, age, members)
};

/// @brief The state of the other daemons according to their latest load reports.
class FleetView
{
public:
    /// A daemon without a report for longer than this counts as silent: it may be cut off from this one and still spend
    /// its even share of the limits.
    static constexpr Duration silenceTimeout = std::chrono::milliseconds(1500); // several reports in a row were lost
    /// Sets a different timeout for fleets that report less often; the default is silenceTimeout.
    void setSilenceTimeout(Duration timeout);

    explicit FleetView(HostName own);
    const HostName &own() const;

    /// Replaces the list of registered daemons. @p members may contain this daemon or not.
    void setMembers(const std::vector<HostName> &members, TimePoint now);
    /// Stores a report of another daemon.
    /// @return the changes; nothing if the report is out of date, load-only, or not from a member. Units that a daemon
    /// granted while it was silent aren't included, since the others left out its share of the limits during that time;
    /// nor are those granted before the first report of a daemon that arrives here, unless it has just started. A
    /// load-only report doesn't end a silence.
    std::optional<ReportChanges> addReport(const LoadReport &report, TimePoint now);
    /// Replaces the locations of the registered daemons.
    void setDataCentres(std::map<HostName, DataCentreName> dataCentres);
    /// This daemon has sent a full report to its data centre's collectors. Sums that contain it are reduced by it.
    void ownReportSent(const LoadReport &report);
    /// Stores the collected reports of a data centre. Counters of each member are taken once, whoever passes them on.
    /// Of several collectors' sums one is used: that of the last collector while it is heard, or of one that hears more
    /// members.
    /// @return the changes; nothing if the collector's report is repeated or was overtaken. Errors: Invalid if the
    /// collector isn't registered in the data centre, or the report is of an earlier run of it.
    Result<std::optional<CentreChanges>> addCentreReport(const CentreReport &report, TimePoint now);
    /// @return where the sums of each data centre come from
    std::map<DataCentreName, CentreState> centres(TimePoint now) const;
    /// @return whether a full report of the member arrived within the silence timeout
    bool isReporting(const HostName &member, TimePoint now) const;
    /// @return number of members, without this daemon, that isReporting()
    std::size_t reportingCount(TimePoint now) const;
    /// @return number of daemons that share the limits: this one, the members, and those that report but aren't in the
    /// list of members yet
    std::size_t size() const;
    /// @return members without a full report for at least @p length; before the first one, the time counts from when
    /// the member was added
    std::vector<HostName> silentFor(Duration length, TimePoint now) const;
    /// @return requests in progress at the engine that other daemons sent
    std::uint32_t requestsAt(const EngineName &engine) const;
    /// @return whether a daemon that reports was told by the engine that it is leaving. A hint: this daemon prefers
    /// other engines.
    bool isReportedLeaving(const EngineName &engine) const;
    /// @return the highest revision of the configuration that this daemon's reporting peers hold
    Revision highestRevision(TimePoint now) const;
    /// @param active revision of the active configuration
    /// @param stored revision that the store holds; lower after a restore from a copy
    /// @return whether the store holds @p active and no daemon, listed as a member or not, has ever reported a higher
    /// revision. Otherwise an answer of the store doesn't prove that @p active is the newest one.
    bool isNewestRevision(Revision active, Revision stored) const;
    /// @return how many reporting members of @p hosts come before this daemon in an order that all daemons agree on and
    /// that spreads duties over the daemons
    std::size_t dutyRank(const std::vector<HostName> &hosts, TimePoint now) const;
    /// @return fraction of each limit that this daemon and the reporting ones may spend together. An even share is left
    /// out for each silent daemon, because a daemon that receives no reports spends exactly that.
    double reportingFraction(TimePoint now) const;
    /// @return this daemon's fraction of what the reporting daemons may spend together: a small part is divided evenly,
    /// the rest in proportion to demand
    double ownFractionFor(const CustomerName &customer, double ownDemand, TimePoint now) const;
    /// Sets the time between two full reports of a daemon.
    void setReportInterval(Duration interval);
    /// @return units that the customer requests from the reporting daemons between two of their reports
    double unreportedUnits(const CustomerName &customer, TimePoint now) const;
    /// @return callers' requests per second for the service at each reporting member; nothing for one that doesn't
    /// state its demand
    std::map<HostName, std::optional<double>> serviceDemands(const ServiceName &service, TimePoint now) const;
    /// Drops the request counts of daemons that have become silent, and unregistered daemons that did. Call it several
    /// times a second.
    void expire(TimePoint now);

private:
    struct Member
    {
        TimePoint lastReportAt;
        bool hasCurrentReport = false;
        LoadReport report;
        std::optional<TimePoint> inSumsAt {}; // when its data centre's sums last contained what it reports
    };
    struct Centre
    {
        HostName collector;
        TimePoint receivedAt;
        std::size_t currentMembers = 0; // with a recent report
        std::size_t members = 0;
        ReportSums sums; // without this daemon
        StoreKnowledge knowledge;
    };
    struct Run
    {
        std::uint64_t incarnation = 0;
        std::uint64_t sequenceNumber = 0;
    };

    bool isInSums(const Member &member, TimePoint now) const;
    void addRow(const MemberRow &row, TimePoint now, CentreChanges &changes);
    void replaceSums(const CentreReport &report, TimePoint now);
    void expireCentres(TimePoint now);

    bool isNewer(const Member &member, const LoadReport &report, TimePoint now) const;
    double reportedDemand(const CustomerName &customer, TimePoint now) const;
    void addToSums(const LoadReport &report);
    void removeFromSums(const LoadReport &report);

    HostName m_own;
    std::map<HostName, Member> m_members; // without this daemon
    std::map<EngineName, std::uint32_t> m_requests;
    std::map<EngineName, std::uint32_t> m_leaving; // number of daemons that the engine told that it is leaving
    Duration m_silenceTimeout = silenceTimeout;
    Duration m_reportInterval {};
    Revision m_highestHeard = 0; // of the configuration, in any report
    std::map<DataCentreName, Centre> m_centres;
    ReportSums m_centreSums; // of all m_centres
    std::map<HostName, Run> m_collectors; // the newest centre report of each
    std::map<HostName, DataCentreName> m_dataCentres;
    std::map<std::uint64_t, HostName> m_hostsByHash; // of members
    std::deque<LoadReport> m_ownReports; // the newest last
    std::map<HostName, TimePoint> m_unregistered; // last reports of daemons that aren't members yet
};

} // namespace monsoonward
