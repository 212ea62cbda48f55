#pragma once

#include <monsoonward/values/values.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace monsoonward
{

/// @brief A service of a route and its share of the route's requests.
struct WeightedService
{
    ServiceName service;
    std::uint32_t weight = 1;
    MONSOONWARD_FIELDS(service, weight)
};

/// @brief How often a request may run.
enum class Repeatability {
    Once, ///< at most once
    Repeatable, ///< may run again on another engine
    Resumable, ///< a stream that another engine may continue after the last event that arrived
};

/// @brief Where requests of one host and path prefix go.
struct Route
{
    std::string name;
    std::string host; ///< lower case, without port
    std::string prefix; ///< begins and ends with '/'
    std::vector<WeightedService> services;
    Repeatability repeatability = Repeatability::Once;
    bool isStream = false; ///< answered with a series of events
    bool isPublic = false; ///< needs no customer key
    Duration timeLimit {}; ///< longest time until the end of the answer; 0: none
    Duration latencyObjective {}; ///< to the whole answer, or to a stream's first event
    Duration pauseObjective {}; ///< longest pause between two events of a stream
    std::uint32_t maxAttempts = 1; ///< engines that one request may be sent to
    Tier tier;
    MONSOONWARD_FIELDS(name,
                       host,
                       prefix,
                       services,
                       repeatability,
                       isStream,
                       isPublic,
                       timeLimit,
                       latencyObjective,
                       pauseObjective,
                       maxAttempts,
                       tier)
};

/// @brief What holds for all engines of a service.
struct ServiceConfiguration
{
    ServiceName name;
    std::uint32_t maxConnections = 0; ///< that one engine takes from all daemons together; 0: unknown
    bool isModel = false; ///< its engines process tokens in batches
    MONSOONWARD_FIELDS(name, maxConnections, isModel)
};

/// @brief A customer's keys and its limit over all daemons.
struct CustomerConfiguration
{
    CustomerName name;
    std::vector<std::string> keys;
    std::optional<Tier> tier; ///< goes before the route's
    double unitsPerSecond = 0; ///< 0: no limit
    double burstUnits = 0; ///< what may be spent at once beyond the rate
    bool countsTokens = false; ///< a unit is a token, else a request
    double defaultRequestUnits = 1; ///< units of a request that states no tokens
    MONSOONWARD_FIELDS(name, keys, tier, unitsPerSecond, burstUnits, countsTokens, defaultRequestUnits)
};

/// @brief Everything that operators declare for gateways, at one revision.
struct ServingConfiguration
{
    Revision revision = 0;
    std::vector<Route> routes;
    std::vector<ServiceConfiguration> services;
    std::vector<CustomerConfiguration> customers; ///< empty: requests need no key
    CallerLimits limits;
    MONSOONWARD_FIELDS(revision, routes, services, customers, limits)
};

using ServingConfigurationPtr = std::shared_ptr<const ServingConfiguration>;

} // namespace monsoonward
