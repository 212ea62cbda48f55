#include "monsoonward/dispatch/limitdivision.h"

#include "monsoonward/dispatch/texthash.h"

#include "monsoonward/dispatch/enginerun.h"

#include <algorithm>
#include <cmath>

namespace monsoonward
{

namespace
{

constexpr double minShare = 1; // requests per second; smaller shares are pooled
constexpr double evenFraction = 0.1; // of the limit that is divided regardless of demand
constexpr double otherRegionWeight = 0.1; // requests to engines of another region are slower and cost more

/// @return the position of a gateway in an order that all gateways agree on; a gateway with twice the weight is twice
/// as likely to be first
double positionOf(const HostName &host, double weight, EngineRun run, std::uint64_t turn)
{
    const auto hash = hashOf(host.text(), run + turn);
    constexpr double hashes = 18446744073709551616.0; // 2^64
    const double uniform = (static_cast<double>(hash) + 1) / (hashes + 2); // neither 0 nor 1
    return -std::log(uniform) / weight;
}

} // namespace

LimitDivision::LimitDivision(Topology topology, HostName own, const FleetView &fleet)
    : m_topology(std::move(topology))
    , m_own(std::move(own))
    , m_fleet(fleet)
{
}

void LimitDivision::setMembers(std::map<HostName, DataCentreName> members)
{
    m_members = std::move(members);
}

void LimitDivision::setOwnDemand(std::map<ServiceName, double> demand)
{
    m_ownDemand = std::move(demand);
}

/// @return this gateway and the reporting ones, with their fractions of what may be sent to the engine
std::vector<LimitDivision::Candidate> LimitDivision::candidatesFor(const EngineRecord &engine, TimePoint now) const
{
    auto demands = m_fleet.serviceDemands(engine.service, now);
    demands.insert_or_assign(m_own, demandFor(engine.service, m_ownDemand));
    double known = 0;
    double knownCount = 0;
    for (const auto &it : demands) {
        known += it.second.value_or(0);
        knownCount += it.second ? 1 : 0;
    }
    const double mean = known > 0 ? known / knownCount : 1; // also of gateways that don't state their demand
    std::vector<Candidate> candidates;
    double sum = 0;
    for (const auto &[host, demand] : demands) {
        const auto member = m_members.find(host);
        const auto &dataCentre = host == m_own || member == m_members.end() ? m_topology.ownDataCentre : member->second;
        const bool isFar = m_topology.distanceBetween(dataCentre, engine.dataCentre) == Distance::OtherRegion;
        const double weight =
            (evenFraction * mean + (1 - evenFraction) * demand.value_or(mean)) * (isFar ? otherRegionWeight : 1);
        sum += weight;
        candidates.push_back({host, weight});
    }
    for (auto &it : candidates) {
        it.share /= sum;
    }
    return candidates;
}

double LimitDivision::ownShare(const EngineRecord &engine, double perSecond, Duration age, TimePoint now) const
{
    const double total = std::max(perSecond * m_fleet.reportingFraction(now), minPerSecond);
    double pool = total;
    std::size_t pooled = 0;
    double own = 0;
    auto candidates = candidatesFor(engine, now);
    for (auto &it : candidates) {
        it.share *= total;
        own = it.host == m_own ? it.share : own;
        pool -= it.share >= minShare ? it.share : 0;
        pooled += it.share >= minShare ? 0 : 1;
    }
    const bool hasLargeShares = pooled < candidates.size();
    const auto poolShares = std::min(pooled, std::max<std::size_t>(static_cast<std::size_t>(pool), 1));
    if (hasLargeShares && pool < minShare) {
        return own < minShare ? 0 : own * total / (total - pool);
    }
    if (own >= minShare) {
        return own;
    }
    const auto run = runOf(engine);
    const auto turn = static_cast<std::uint64_t>(std::max(age, Duration::zero()) / turnLength);
    const auto ownPosition = positionOf(m_own, own, run, turn);
    const auto before = std::count_if(candidates.begin(), candidates.end(), [&](const Candidate &it) {
        return it.share < minShare && it.host != m_own && positionOf(it.host, it.share, run, turn) < ownPosition;
    });
    return static_cast<std::size_t>(before) < poolShares ? pool / static_cast<double>(poolShares) : 0;
}

} // namespace monsoonward
