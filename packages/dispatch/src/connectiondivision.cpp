#include "monsoonward/dispatch/connectiondivision.h"

#include "monsoonward/dispatch/texthash.h"

#include <algorithm>

namespace monsoonward
{

namespace
{

constexpr std::uint32_t connectionsPerSlot = 2; // one request runs and one waits

/// @return the position of a gateway in an order that all gateways agree on, another one for each engine
std::uint64_t positionOf(const HostName &host, const EngineName &engine)
{
    return hashOf(host.text(), hashOf(engine.text()));
}

} // namespace

ConnectionDivision::ConnectionDivision(HostName own, const FleetView &fleet)
    : m_own(std::move(own))
    , m_fleet(fleet)
{
}

void ConnectionDivision::configure(const ServingConfiguration &configuration)
{
    m_accepted.clear();
    for (const auto &it : configuration.services) {
        m_accepted[it.name] = it.maxConnections;
    }
}

void ConnectionDivision::setMembers(std::vector<HostName> members)
{
    m_members = std::move(members);
}

std::size_t ConnectionDivision::ownIdleShare(const EngineRecord &engine) const
{
    const auto found = m_accepted.find(engine.service);
    if (found == m_accepted.end() || found->second == 0) {
        return maxIdle;
    }
    const std::size_t accepted = found->second;
    const auto reserved = std::min(std::size_t {engine.slots} * connectionsPerSlot, accepted / 2);
    const auto idle = accepted - reserved;
    const auto gateways = m_fleet.size();
    const auto ownPosition = positionOf(m_own, engine.name);
    const auto before = std::count_if(m_members.begin(), m_members.end(), [&](const HostName &it) {
        return it != m_own && positionOf(it, engine.name) < ownPosition;
    });
    const bool getsOneMore = static_cast<std::size_t>(before) < idle % gateways;
    return std::min(idle / gateways + (getsOneMore ? 1 : 0), maxIdle);
}

} // namespace monsoonward
