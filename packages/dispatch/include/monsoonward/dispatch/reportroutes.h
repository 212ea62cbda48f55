#pragma once

#include "monsoonward/dispatch/topology.h"

#include <map>
#include <optional>
#include <vector>

namespace monsoonward
{

/// @brief How load reports travel between the gateways.
enum class SumsMode {
    Auto, ///< sums in large fleets
    Always,
    Never,
};

/// Up to this many gateways each one sends its reports to all others. Their interval grows with the number up to here,
/// so that 100 reports arrive a second, 23 kB at the 230 bytes of a report with few engines and customers; with more
/// gateways the rate would grow, and the size as well.
constexpr std::size_t maxGatewaysWithoutSums = 40;

/// @param gateways number of registered ones
bool usesSums(SumsMode mode, std::size_t gateways);

/// @brief Decides who collects the reports of a data centre's gateways, and who sends what to whom.
///
/// Each data centre has two collectors: the first two of its gateways, in an order by rendezvous hashing, of which
/// collected reports are heard. A gateway that knows no two before it collects, after a delay that grows with its
/// position in the order. Nothing is agreed: gateways with different knowledge name different collectors, and more
/// than two only cost bytes.
class ReportRoutes
{
public:
    static constexpr std::size_t collectorsPerCentre = 2;
    /// A collector isn't one any more when this many of its reports in a row were lost.
    static constexpr int missedReports = 4;

    ReportRoutes(HostName own, DataCentreName ownDataCentre);

    /// @param members locations of the registered gateways
    void setMembers(std::map<HostName, DataCentreName> members, TimePoint now);
    /// A centre report of the collector has arrived.
    void collectorHeard(const HostName &collector, TimePoint now);

    /// @return the interval at which each gateway sends its report to the collectors, and collectors send theirs
    Duration interval() const;
    /// @return time without a report after which a gateway counts as silent
    Duration silenceTimeout() const;
    /// @return the collectors of the data centre that are heard, in order, two at most
    std::vector<HostName> collectorsOf(const DataCentreName &dataCentre, TimePoint now) const;
    /// Takes on or gives up the duty to collect. Call it once an interval.
    /// @return this gateway's position among its data centre's collectors; nothing if it isn't one
    std::optional<std::size_t> updateOwnDuty(TimePoint now);
    /// @return who gets this gateway's own reports
    std::vector<HostName> collectorsForOwn(TimePoint now) const;
    /// @return the other gateways of the data centre
    const std::vector<HostName> &neighbours() const;
    /// @param position of this gateway among its data centre's collectors
    /// @return for each other data centre the gateway that passes a centre report on within it: the collector with the
    /// same position, so that one lost collector on each side interrupts only one of two ways
    std::vector<HostName> relays(std::size_t position, TimePoint now) const;

private:
    bool isHeard(const HostName &host, TimePoint now) const;

    HostName m_own;
    DataCentreName m_ownDataCentre;
    std::map<DataCentreName, std::vector<HostName>> m_orders; // this gateway included
    std::vector<HostName> m_neighbours;
    std::size_t m_size = 1;
    std::map<HostName, TimePoint> m_heardAt; // of registered gateways
    bool m_isCollecting = false;
    std::optional<TimePoint> m_vacantSince; // since fewer than two collectors before this gateway are heard
};

} // namespace monsoonward
