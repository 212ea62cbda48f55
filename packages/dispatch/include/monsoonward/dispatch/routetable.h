#pragma once

#include "monsoonward/dispatch/servingconfiguration.h"

#include <string_view>
#include <unordered_map>

namespace monsoonward
{

/// @brief Finds the route for a host name and path by the longest matching path prefix.
class RouteTable
{
public:
    explicit RouteTable(ServingConfigurationPtr configuration);

    /// The time grows with the number of path segments, not with the number of routes.
    /// @param host value of the Host header; case and port are ignored
    /// @param path begins with '/'; a query is ignored
    /// @return the route, or null; valid as long as the table
    const Route *find(std::string_view host, std::string_view path) const;

private:
    ServingConfigurationPtr m_configuration;
    std::unordered_map<std::string, const Route *> m_routes; // key: host followed by prefix
};

/// Chooses the service for a request in proportion to the route's weights.
/// @param hash hash of the request, uniformly distributed
const ServiceName &serviceFor(const Route &route, std::uint64_t hash);

} // namespace monsoonward
