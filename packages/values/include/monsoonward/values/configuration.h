#pragma once

#include "monsoonward/values/name.h"
#include "monsoonward/values/time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// Types of the configuration that all daemons share. They are plain values, compared field by field. Only declarations
/// submitted by monsoonctl change it.
namespace monsoonward
{

/// @brief Revision number of an accepted configuration. A daemon adopts only a revision higher than its own.
using Revision = std::uint64_t;

/// @brief IP address and TCP port.
struct Address
{
    std::string ip;
    std::uint16_t port = 0;
    MONSOONWARD_FIELDS(ip, port)
};

struct RegionSpec
{
    RegionName name;
    MONSOONWARD_FIELDS(name)
};

struct DataCentreSpec
{
    DataCentreName name;
    RegionName region;
    MONSOONWARD_FIELDS(name, region)
};

enum class HostRole { Entry, Target }; ///< an entry accepts callers' requests, a target daemon claims and runs them

/// @brief Whether a host or target receives new requests.
enum class ServingState {
    InService,
    Draining, ///< no new requests; those in progress finish
};

struct HostSpec
{
    HostName name;
    DataCentreName dataCentre;
    HostRole role = HostRole::Target;
    Address peerAddress; ///< where other daemons connect to
    Address adminAddress; ///< serves metrics, the state dump and the operator API
    ServingState state = ServingState::InService;
    MONSOONWARD_FIELDS(name, dataCentre, role, peerAddress, adminAddress, state)
};

struct TierSpec
{
    Tier tier;
    std::string name;
    Duration defaultDeadline {};
    MONSOONWARD_FIELDS(tier, name, defaultDeadline)
};

enum class ServiceKind { Model, Plain }; ///< requests run on model engines, or on any other HTTP server

/// @brief Matches the requests of a plain service that are safe to retry, by method and path prefix.
struct RepeatableCall
{
    std::string method;
    std::string pathPrefix;
    MONSOONWARD_FIELDS(method, pathPrefix)
};

struct ServiceSpec
{
    ServiceName name;
    ServiceKind kind = ServiceKind::Model;
    ModelName model;
    std::string version;
    std::vector<RepeatableCall> repeatableCalls;
    MONSOONWARD_FIELDS(name, kind, model, version, repeatableCalls)
};

/// @brief Back end of one service on one host: one or more engines, or one plain HTTP server.
struct TargetSpec
{
    TargetName name;
    HostName host;
    ServiceName service;
    ServingState state = ServingState::InService;
    bool checksFencing = false; ///< whether its engines reject orders with an outdated fencing token
    MONSOONWARD_FIELDS(name, host, service, state, checksFencing)
};

struct EngineSpec
{
    EngineName name;
    TargetName target;
    Address address;
    std::string generation; ///< hardware generation
    std::uint32_t maxBatch = 0; ///< largest number of requests decoded concurrently
    std::uint64_t cacheTokens = 0; ///< capacity of the prefix cache
    MONSOONWARD_FIELDS(name, target, address, generation, maxBatch, cacheTokens)
};

/// @brief Limits of one customer, summed over all entry daemons; 0 means no limit.
struct CustomerLimits
{
    std::uint32_t requestsInProgress = 0;
    std::uint32_t tokensInProgress = 0;
    double requestsPerSecond = 0;
    double tokensPerSecond = 0;
    MONSOONWARD_FIELDS(requestsInProgress, tokensInProgress, requestsPerSecond, tokensPerSecond)
};

struct CustomerSpec
{
    CustomerName name;
    std::vector<std::string> keyHashes; ///< SHA-256 of each API key, hexadecimal
    std::vector<Tier> tiers; ///< tiers that the customer may use
    double weight = 1; ///< relative share of capacity within a tier
    CustomerLimits limits;
    MONSOONWARD_FIELDS(name, keyHashes, tiers, weight, limits)
};

enum class OperatorRight { Read, Plan, Confirm };

struct OperatorSpec
{
    std::string name;
    std::string tokenHash; ///< SHA-256 of the bearer token, hexadecimal
    std::vector<OperatorRight> rights;
    MONSOONWARD_FIELDS(name, tokenHash, rights)
};

/// @brief The whole configuration at one revision. Each list is sorted by name.
struct Configuration
{
    Revision revision = 0;
    std::vector<RegionSpec> regions;
    std::vector<DataCentreSpec> dataCentres;
    std::vector<HostSpec> hosts;
    std::vector<TierSpec> tiers;
    std::vector<ServiceSpec> services;
    std::vector<TargetSpec> targets;
    std::vector<EngineSpec> engines;
    std::vector<CustomerSpec> customers;
    std::vector<OperatorSpec> operators;
    MONSOONWARD_FIELDS(revision, regions, dataCentres, hosts, tiers, services, targets, engines, customers, operators)
};

using ConfigurationPtr = std::shared_ptr<const Configuration>;

/// Binary search in @p list, which must be sorted by name.
/// @return the element named @p name, or null
template<class Spec, class Key>
const Spec *find(const std::vector<Spec> &list, const Key &name)
{
    std::size_t low = 0;
    std::size_t high = list.size();
    while (low < high) {
        const std::size_t middle = low + (high - low) / 2;
        if (list[middle].name < name) {
            low = middle + 1;
        } else {
            high = middle;
        }
    }
    return low < list.size() && list[low].name == name ? &list[low] : nullptr;
}

/// @return the region that @p host is in, or an empty name when the host or its data centre is unknown
RegionName regionOf(const Configuration &configuration, const HostName &host);

} // namespace monsoonward
