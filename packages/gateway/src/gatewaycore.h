#pragma once

#include "enginepool.h"
#include "gatewaymetrics.h"
#include "registrationreader.h"
#include "sharedstreams.h"
#include "structuredlog.h"

#include "monsoonward/gateway/adapter.h"
#include "monsoonward/gateway/gatewaysettings.h"

#include <functional>

namespace monsoonward
{

/// @brief The configuration in use, with lookup tables built from it.
struct ActiveConfiguration
{
    explicit ActiveConfiguration(const ServingConfigurationPtr &it, std::uint64_t seed)
        : configuration(it)
        , routes(it)
        , customers(it, seed)
    {
    }
    ServingConfigurationPtr configuration;
    RouteTable routes;
    CustomerTable customers;
};

using ActiveConfigurationPtr = std::shared_ptr<const ActiveConfiguration>;

/// @return bytes that may be held for callers and engines
std::size_t memoryBound(const GatewaySettings &settings);

/// @brief State that the components of a gateway share. Used on the event loop's thread only.
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
    ActiveConfigurationPtr activeConfiguration; ///< null until the first one is read
    Freshness freshness;
    RateLimiter rateLimiter;
    RetryBudgetShare retryBudget;
    EngineDirectory engines;
    EngineContinuity continuity;
    EngineHealth health;
    EngineLimits engineLimits;
    CrashSuspects crashSuspects;
    FleetView fleet;
    PeerSurvey peerSurvey;
    LimitDivision limitDivision;
    EngineLimiter engineLimiter;
    PromptSavings promptSavings;
    std::unique_ptr<Placer> placer;
    ConnectionDivision connectionDivision;
    EnginePool pool;
    PeerSocket peers;
    SharedStreams streams;
    RegistrationReader *registrations = nullptr; ///< set before requests are accepted
    Rollouts rollouts;
    std::function<void(const ServiceName &)> onVersionBad; ///< called when this gateway finds a version bad
    StoreKnowledge knowledge; ///< what this gateway has read from the store, for its load reports
    std::size_t openRequests = 0;
    MemoryAccount memory; ///< bytes held for callers and engines
    PacedRecords callerFaults; ///< for the log
    bool isStopping = false;
    TimePoint lateRequestsFrom; ///< during shutdown: requests that arrive later must have a deadline before abortAt
    TimePoint abortAt; ///< during shutdown: when the requests in progress are aborted
};

} // namespace monsoonward
