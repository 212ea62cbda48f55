#pragma once

#include "monsoonward/dispatch/enginedirectory.h"
#include "monsoonward/dispatch/fleetview.h"
#include "monsoonward/dispatch/topology.h"

#include <map>

namespace monsoonward
{

/// @brief Divides the limit that an engine states among the gateways, so that their shares add up to it.
///
/// Shares are in proportion to the demand that gateways report for the engine's service; gateways of another region
/// count less. Shares of less than a request per second are pooled and given to few gateways, chosen by weighted
/// rendezvous hashing: otherwise many gateways that each may send one request would exceed the limit together. The
/// part of silent gateways is left out, because each of them may spend it. All gateways compute the same shares from
/// the same reports.
class LimitDivision
{
public:
    /// Gateways together send at least this many requests per second to an engine, whatever its limit: without any,
    /// none would hear that the limit is lifted.
    static constexpr double minPerSecond = 0.25;
    /// The pooled shares go to other gateways when no statement of the engine was heard for this time: those that have
    /// them may get no requests for the engine's service.
    static constexpr Duration turnLength = std::chrono::seconds(8);

    /// @param fleet must outlive this object
    LimitDivision(Topology topology, HostName own, const FleetView &fleet);

    /// Replaces the locations of the registered gateways.
    void setMembers(std::map<HostName, DataCentreName> members);
    /// Sets the requests per second by service that this gateway has reported to the others.
    void setOwnDemand(std::map<ServiceName, double> demand);
    /// @param perSecond the limit in requests per second
    /// @param age time since the engine's newest statement
    /// @return this gateway's share of the limit in requests per second; 0 if others have it
    double ownShare(const EngineRecord &engine, double perSecond, Duration age, TimePoint now) const;

private:
    struct Candidate
    {
        HostName host;
        double share = 0;
    };

    std::vector<Candidate> candidatesFor(const EngineRecord &engine, TimePoint now) const;

    Topology m_topology;
    HostName m_own;
    const FleetView &m_fleet;
    std::map<HostName, DataCentreName> m_members;
    std::map<ServiceName, double> m_ownDemand;
};

} // namespace monsoonward
