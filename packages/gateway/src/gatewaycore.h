#pragma once

#include "enginepool.h"
#include "gatewaymetrics.h"
#include "structuredlog.h"

#include "monsoonward/gateway/adapter.h"
#include "monsoonward/gateway/gatewaysettings.h"

namespace monsoonward
{

/// @brief The configuration in force with its look-ups.
struct Serving
{
    explicit Serving(const ServingConfigurationPtr &it, std::uint64_t seed)
        : configuration(it)
        , routes(it)
        , customers(it, seed)
    {
    }
    ServingConfigurationPtr configuration;
    RouteTable routes;
    CustomerTable customers;
};

using ServingPtr = std::shared_ptr<const Serving>;

/// @brief What the parts of a gateway share. Everything runs on the event loop's thread.
struct GatewayCore
{
    GatewayCore(boost::asio::io_context &io,
                const Clock &clock,
                const GatewaySettings &settings,
                const Adapter &adapter,
                StructuredLog &log,
                GatewayMetrics &metrics);

    boost::asio::io_context &io;
    const Clock &clock;
    GatewaySettings settings;
    const Adapter &adapter;
    StructuredLog &log;
    GatewayMetrics &metrics;
    ServingPtr serving; ///< null before the first configuration
    Freshness freshness;
    RateLimiter allotments;
    RetryBudgetShare retries;
    EngineDirectory engines;
    EngineHealth health;
    FleetView fleet;
    std::unique_ptr<Placer> placer;
    EnginePool pool;
    std::size_t openRequests = 0;
    std::size_t openBytes = 0; ///< of request bodies
    bool isStopping = false;
    TimePoint lateFrom; ///< when stopping: requests from then on are taken only if they end before cutAt
    TimePoint cutAt; ///< when stopping: requests in progress are cut
};

} // namespace monsoonward
