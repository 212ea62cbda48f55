#pragma once

#include <monsoonward/values/values.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace monsoonward
{

/// @brief What a daemon tells the others several times a second.
struct LoadReport
{
    HostName host;
    std::uint64_t incarnation = 0; ///< of the process; rises with each start
    std::uint64_t sequenceNumber = 0; ///< rises within a life
    std::map<EngineName, std::uint32_t> requests; ///< in progress at each engine, through this daemon
    std::map<CustomerName, double> demand; ///< units a second asked of this daemon
    std::map<CustomerName, double> spent; ///< units granted by this daemon in its life
    bool isLoadOnly = false; ///< tells of requests only, and nothing of customers
    bool shouldForward = false; ///< who gets it passes it on to the daemons of its region
    MONSOONWARD_FIELDS(host, incarnation, sequenceNumber, requests, demand, spent, isLoadOnly, shouldForward)
};

/// @brief What a report that was heard adds to what was known.
struct ReportChanges
{
    bool wasSilent = false; ///< the daemon had not been heard lately
    std::map<CustomerName, double> spent; ///< units granted since its last report
    MONSOONWARD_FIELDS(wasSilent, spent)
};

/// @brief The other daemons, as far as this one has heard of them.
class FleetView
{
public:
    /// A daemon that was silent for longer may be cut off and still spend its part of a limit.
    static constexpr Duration silenceTimeout = std::chrono::milliseconds(1500); // several reports in a row were lost
    /// Sets the bound for fleets whose reports come more seldom; silenceBound at the start.
    void setSilenceTimeout(Duration bound);

    explicit FleetView(HostName own);

    /// All daemons that registered, this one or not.
    void setMembers(const std::vector<HostName> &members, TimePoint now);
    /// @return nothing when the report is older than one that was heard, or from no member. What a daemon granted while
    /// it was silent is not told: its part of the limits was left out meanwhile. A short report doesn't end a silence.
    std::optional<ReportChanges> addReport(const LoadReport &report, TimePoint now);
    /// @return whether the member has reported lately
    bool isReporting(const HostName &member, TimePoint now) const;
    /// @return daemons that share the limits, this one included, and those that report without being known as members
    std::size_t size() const;
    /// @return members that were silent for at least @p length since they registered
    std::vector<HostName> silentFor(Duration length, TimePoint now) const;
    /// @return requests in progress at the engine through other daemons
    std::uint32_t requestsAt(const EngineName &engine) const;
    /// @return part of the limits that this daemon and those that it hears may spend together. For one that is silent
    /// an even part is left out, which is what it takes while it hears nobody.
    double reportingFraction(TimePoint now) const;
    /// @return this daemon's share of what those that it hears may spend, by demand
    double ownFractionFor(const CustomerName &customer, double ownDemand, TimePoint now) const;
    /// Forgets the loads that silent daemons reported; called several times a second.
    void expire(TimePoint now);

private:
    struct Member
    {
        TimePoint heardAt;
        bool isHeard = false;
        LoadReport report;
    };

    void addLoads(const LoadReport &report, int sign);

    HostName m_own;
    std::map<HostName, Member> m_members; // the others
    std::map<EngineName, std::uint32_t> m_requests;
    Duration m_silenceBound = silenceTimeout;
    std::map<HostName, TimePoint> m_strangers; // report, but are no members yet as far as this daemon knows
};

} // namespace monsoonward
