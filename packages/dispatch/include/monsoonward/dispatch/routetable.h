#pragma once

#include "monsoonward/dispatch/servingconfiguration.h"

#include <string_view>
#include <unordered_map>

namespace monsoonward
{

/// @brief Finds the route of a host and path: the longest prefix that begins the path.
class RouteTable
{
public:
    explicit RouteTable(ServingConfigurationPtr configuration);

    /// @param host as in the Host header; case and port don't matter
    /// @param path begins with '/'; a query does not take part
    /// @return the route, or null. Lives as long as the table. The cost grows with the path's segments only.
    const Route *find(std::string_view host, std::string_view path) const;

private:
    ServingConfigurationPtr m_configuration;
    std::unordered_map<std::string, const Route *> m_routes; // by host, then prefix
};

/// Picks the service of a request by the route's weights.
/// @param hash of the request, spread evenly
const ServiceName &serviceFor(const Route &route, std::uint64_t hash);

} // namespace monsoonward
