#include "monsoonward/values/configuration.h"

namespace monsoonward
{

RegionName regionOf(const Configuration &configuration, const HostName &host)
{
    const auto *hostSpec = find(configuration.hosts, host);
    if (hostSpec == nullptr) {
        return {};
    }
    const auto *dataCentre = find(configuration.dataCentres, hostSpec->dataCentre);
    return dataCentre == nullptr ? RegionName {} : dataCentre->region;
}

} // namespace monsoonward
