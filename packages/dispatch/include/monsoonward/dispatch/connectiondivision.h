#pragma once

#include "monsoonward/dispatch/enginedirectory.h"
#include "monsoonward/dispatch/fleetview.h"
#include "monsoonward/dispatch/servingconfiguration.h"

#include <map>

namespace monsoonward
{

/// @brief Divides the connections that an engine accepts among the gateways.
///
/// An engine rejects requests, or resets connections, when all gateways together have more open than it accepts. Some
/// connections are set aside for requests in progress; the rest may be kept idle. What doesn't divide evenly goes to
/// few gateways, which differ from engine to engine. All gateways with the same list of members compute the same
/// shares.
class ConnectionDivision
{
public:
    /// Upper limit of a share: connections that a burst opened beyond this are closed.
    static constexpr std::size_t maxIdle = 16;

    /// @param fleet must outlive this object
    ConnectionDivision(HostName own, const FleetView &fleet);

    /// Replaces the numbers of connections that the services' engines accept.
    void configure(const ServingConfiguration &configuration);
    /// Replaces the registered gateways.
    void setMembers(std::vector<HostName> members);
    /// @return number of connections to the engine that this gateway may keep open without a request
    std::size_t ownIdleShare(const EngineRecord &engine) const;

private:
    HostName m_own;
    const FleetView &m_fleet;
    std::vector<HostName> m_members;
    std::map<ServiceName, std::uint32_t> m_accepted;
};

} // namespace monsoonward
