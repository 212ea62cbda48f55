#include "monsoonward/dispatch/topology.h"

namespace monsoonward
{

Distance Topology::distanceTo(const DataCentreName &dataCentre) const
{
    return distanceBetween(ownDataCentre, dataCentre);
}

Distance Topology::distanceBetween(const DataCentreName &first, const DataCentreName &second) const
{
    if (first == second) {
        return Distance::SameDataCentre;
    }
    const auto one = regions.find(first);
    const auto other = regions.find(second);
    const bool isSameRegion = one != regions.end() && other != regions.end() && one->second == other->second;
    return isSameRegion ? Distance::SameRegion : Distance::OtherRegion;
}

} // namespace monsoonward
