#pragma once

#include "monsoonward/dispatch/enginebuild.h"
#include "monsoonward/dispatch/enginedirectory.h"
#include "monsoonward/dispatch/enginehealth.h"
#include "monsoonward/dispatch/enginelimiter.h"
#include "monsoonward/dispatch/firstbytesmodel.h"
#include "monsoonward/dispatch/fleetview.h"
#include "monsoonward/dispatch/promptsavings.h"
#include "monsoonward/dispatch/topology.h"

#include <memory>

namespace monsoonward
{

/// @brief The properties of a request that decide its placement.
struct PlacementRequest
{
    ServiceName service;
    Tier tier;
    Duration latencyObjective {};
    std::vector<EngineName> excludedEngines; ///< engines that this request was sent to before
    bool isRetry = false; ///< a further attempt by this daemon; admitted like the most urgent tier
    bool isResend = false; ///< sent again by a refused caller; admitted like the most urgent tier
    /// The request goes on with a stream, for which only engines of this build may be chosen. It is refused only above
    /// the maximum load, since its caller can't begin the stream again.
    std::optional<EngineBuild> build {};
    /// An engine may have run the request, so that it can't be refused as not run. It is placed up to the maximum load.
    bool mayHaveRun = false;
    Duration timeLeft {}; ///< until the caller's deadline
    /// 0 to 1, uniformly distributed over requests; a pseudorandom number for the choice of engine and retry time.
    double uniformHash = 0;
    std::vector<EngineBuild> excludedBuilds {}; ///< engines of these builds get no new requests
    PromptBeginnings prompt {}; ///< empty if the request states no parts
    MONSOONWARD_FIELDS(service,
                       tier,
                       latencyObjective,
                       excludedEngines,
                       isRetry,
                       isResend,
                       build,
                       mayHaveRun,
                       timeLeft,
                       uniformHash,
                       excludedBuilds,
                       prompt)
};

/// @brief The result of a placement.
enum class PlacementOutcome {
    Placed, ///< an engine was chosen
    NoEngine, ///< the service has no engine that may be tried
    Full, ///< the engines are too loaded for a request of this tier
    Limited, ///< the engines that may be tried take no more requests for now, as they state limits
};

/// @brief The engine for a request, or the time after which a refused caller should retry.
struct Placement
{
    PlacementOutcome outcome = PlacementOutcome::NoEngine;
    EngineRecord engine; ///< the chosen engine; if full, the one considered last
    std::uint32_t inProgress = 0; ///< estimated requests in progress at that engine from all daemons
    double load = 0; ///< requests in progress per slot of the engine
    Duration expected {}; ///< expected time to the first bytes of the answer
    Duration limit {}; ///< the request is admitted up to this expected time
    Duration retryAfter {}; ///< when refused
    std::optional<EngineAllowance> allowance {}; ///< of the engine, if it states a limit on requests per second
    double heldTokens = 0; ///< of the prompt, which the engine probably holds
    bool isForHeldPrompt = false; ///< the engine wouldn't be the cheapest without them
    MONSOONWARD_FIELDS(
        outcome, engine, inProgress, load, expected, limit, retryAfter, allowance, heldTokens, isForHeldPrompt)
};

/// @brief Chooses an engine for each request, or refuses it. The owner reports each request's progress to it.
class Placer
{
public:
    virtual ~Placer() = default;
    virtual Placement place(const PlacementRequest &request, TimePoint now) = 0;
    /// A request was sent to the engine.
    virtual void requestSent(const EngineName &engine, TimePoint now) = 0;
    /// The first bytes of an answer have arrived.
    /// @param load the engine's load when the request was placed
    /// @param length time from sending the request to the first bytes
    virtual void firstBytesReceived(const EngineRecord &engine, double load, Duration length, TimePoint now) = 0;
    /// A request that was sent to the engine has ended.
    virtual void requestEnded(const EngineName &engine) = 0;
    /// The engine was removed; what was learned about it is dropped.
    virtual void forget(const EngineName &engine) = 0;
    /// Must be called when ownRequests() is sent to the other daemons. What changes here afterwards is the estimate of
    /// what they have started since their last reports.
    virtual void loadReported(TimePoint now) = 0;
    /// @return requests per second of each service that callers send to this daemon
    virtual std::map<ServiceName, double> demand(TimePoint now) const = 0;
    /// @return requests in progress at each engine that this daemon sent
    virtual const std::map<EngineName, std::uint32_t> &ownRequests() const = 0;
};

/// @brief Chooses engines with a short expected time to the first bytes, plus penalties for load, failures and
/// distance. The choice is spread over several engines, since other daemons choose from the same reports. The time is
/// predicted from the engine's learned speed and its load from all daemons.
///
/// A request is admitted if load delays it by no more than a fraction of its latency objective. The fraction is smaller
/// the more of the service's requests are of more urgent tiers, so that a burst of less urgent requests leaves capacity
/// for them. At low load every request is admitted; above the maximum load none is. Other requests are refused at once.
///
/// An engine that states a limit gets no more requests than this daemon's share of it. The less urgent a request is,
/// the more of the share it leaves to others.
/// @param directory, health, fleet, limiter, savings must outlive the placer
/// @param savings of engines that hold the beginning of a prompt; null: not considered
std::unique_ptr<Placer> makeFirstBytesPlacer(const Topology &topology,
                                             const EngineDirectory &directory,
                                             const EngineHealth &health,
                                             const FleetView &fleet,
                                             EngineLimiter &limiter,
                                             const PromptSavings *savings = nullptr);

} // namespace monsoonward
