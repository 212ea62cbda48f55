#pragma once

#include <monsoonward/values/values.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace monsoonward
{

/// @brief A service of a route and its weight in the distribution of the route's requests.
struct WeightedService
{
    ServiceName service;
    std::uint32_t weight = 1;
    MONSOONWARD_FIELDS(service, weight)
};

/// @brief How often a request may be executed.
enum class Repeatability {
    Once, ///< at most once
    Repeatable, ///< may be executed again on another engine
    Resumable, ///< a stream that another engine may continue after the last event received
};

/// @brief The services and limits for requests with one host name and path prefix.
struct Route
{
    std::string name;
    std::string host; ///< host name in lower case, without port
    std::string prefix; ///< begins and ends with '/'
    std::vector<WeightedService> services;
    Repeatability repeatability = Repeatability::Once;
    bool isStream = false; ///< the answer is a stream of events
    bool isPublic = false; ///< requests need no customer key
    Duration timeLimit {}; ///< maximum time until the end of the answer; 0: no limit
    Duration latencyObjective {}; ///< to the end of the answer, or to the first event of a stream
    Duration pauseObjective {}; ///< maximum pause between two events of a stream
    std::uint32_t maxAttempts = 1; ///< number of engines that one request may be sent to
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

/// @brief Properties of all engines of a service.
struct ServiceConfiguration
{
    ServiceName name;
    std::uint32_t maxConnections = 0; ///< that one engine accepts from all daemons together; 0: unknown
    bool isModel = false; ///< its engines process tokens in batches
    double memoryTokens = 0; ///< of one engine, for running requests and kept prompts together; 0: unknown
    MONSOONWARD_FIELDS(name, maxConnections, isModel, memoryTokens)
};

/// @brief A customer's keys and its rate limit over all daemons.
struct CustomerConfiguration
{
    CustomerName name;
    std::vector<std::string> keys;
    std::optional<Tier> tier; ///< overrides the route's tier
    double unitsPerSecond = 0; ///< 0: no limit
    double burstUnits = 0; ///< size of the token bucket
    bool countsTokens = false; ///< a unit is a token instead of a request
    /// Units of a request that doesn't state its number of tokens, if tokens are counted.
    double defaultRequestUnits = 1;
    MONSOONWARD_FIELDS(name, keys, tier, unitsPerSecond, burstUnits, countsTokens, defaultRequestUnits)
};

/// @brief The operators' configuration of the gateways at one revision.
struct ServingConfiguration
{
    Revision revision = 0;
    std::vector<Route> routes;
    std::vector<ServiceConfiguration> services;
    std::vector<CustomerConfiguration> customers;
    /// The list of customers is stated. If it is stated and empty, no key is valid; if it isn't, requests need no key.
    bool hasCustomerList = false;
    CallerLimits limits;
    MONSOONWARD_FIELDS(revision, routes, services, customers, hasCustomerList, limits)
};

using ServingConfigurationPtr = std::shared_ptr<const ServingConfiguration>;

} // namespace monsoonward
