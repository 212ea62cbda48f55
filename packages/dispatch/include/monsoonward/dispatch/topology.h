#pragma once

#include <monsoonward/values/values.h>

#include <map>

namespace monsoonward
{

/// @brief How far a data centre is from this daemon.
enum class Distance { SameDataCentre, SameRegion, OtherRegion };

/// @brief This daemon's data centre and the region of each data centre.
struct Topology
{
    DataCentreName ownDataCentre;
    std::map<DataCentreName, RegionName> regions;
    MONSOONWARD_FIELDS(ownDataCentre, regions)

    /// @return OtherRegion if the region of either data centre is unknown
    Distance distanceTo(const DataCentreName &dataCentre) const;
    /// @return OtherRegion if the region of either data centre is unknown
    Distance distanceBetween(const DataCentreName &first, const DataCentreName &second) const;
};

} // namespace monsoonward
