#pragma once

#include "monsoonward/dispatch/enginedirectory.h"
#include "monsoonward/dispatch/enginehealth.h"
#include "monsoonward/dispatch/firstbytesmodel.h"
#include "monsoonward/dispatch/fleetview.h"

#include <memory>

namespace monsoonward
{

/// @brief How far a data centre is from this daemon.
enum class Distance { SameDataCentre, SameRegion, OtherRegion };

/// @brief Where this daemon stands, and which region each data centre belongs to.
struct Topology
{
    DataCentreName ownDataCentre;
    std::map<DataCentreName, RegionName> regions;
    MONSOONWARD_FIELDS(ownDataCentre, regions)

    Distance distanceTo(const DataCentreName &dataCentre) const;
};

/// @brief What placement needs to know of a request.
struct PlacementRequest
{
    ServiceName service;
    Tier tier;
    Duration latencyObjective {};
    std::vector<EngineName> excludedEngines; ///< tried before
    bool isRetry = false; ///< an engine worked on it before: it is admitted like the most urgent tier
    bool isResend = false; ///< its caller was refused before and came back
    Duration timeLeft {}; ///< until the caller gives up
    double uniformHash = 0; ///< 0 to 1, even over requests: spreads the return of refused callers
    MONSOONWARD_FIELDS(service, tier, latencyObjective, excludedEngines, isRetry, isResend, timeLeft, uniformHash)
};

enum class PlacementOutcome {
    Placed,
    NoEngine, ///< no engine of the service is known and in working order
    Full, ///< every engine has as many requests as its tier may find there
};

/// @brief Where a request goes, or when its caller should come back.
struct Placement
{
    PlacementOutcome outcome = PlacementOutcome::NoEngine;
    EngineRecord engine; ///< when placed
    std::uint32_t inProgress = 0; ///< at that engine through all daemons, as far as known; the least when full
    double load = 0; ///< requests in progress for each slot of the engine
    Duration expected {}; ///< time to the first bytes of the answer there
    Duration limit {}; ///< up to which expected time the request is admitted
    Duration retryAfter {}; ///< when refused
    MONSOONWARD_FIELDS(outcome, engine, inProgress, load, expected, limit, retryAfter)
};

/// @brief Chooses an engine for each request, or refuses it.
class Placer
{
public:
    virtual ~Placer() = default;
    virtual Placement place(const PlacementRequest &request, TimePoint now) = 0;
    /// The request was sent to the engine.
    virtual void requestSent(const EngineName &engine, TimePoint now) = 0;
    /// @param load of the engine when the request was placed
    /// @param length from sending to the first bytes
    virtual void firstBytesReceived(const EngineRecord &engine, double load, Duration length, TimePoint now) = 0;
    virtual void requestEnded(const EngineName &engine) = 0;
    /// The engine is gone.
    virtual void forget(const EngineName &engine) = 0;
    /// The other daemons are told of ownRequests(). What is sent from now on they don't know of, as this daemon doesn't
    /// know of theirs.
    virtual void loadReported(TimePoint now) = 0;
    /// @return requests in progress at each engine through this daemon
    virtual const std::map<EngineName, std::uint32_t> &ownRequests() const = 0;
};

/// @brief Sends each request to the engine that is expected to bring the first bytes soonest, by what was learned of
/// its pace and of the load that all daemons together have put on it. A request is admitted while load delays it by no
/// more than a part of its latency objective; the part is smaller the more urgent tiers the service has, so that a
/// burst of patient requests leaves room for urgent ones. The rest is refused at once.
/// @param directory, health, fleet outlive the placer
std::unique_ptr<Placer> makeFirstBytesPlacer(const Topology &places,
                                             const EngineDirectory &directory,
                                             const EngineHealth &health,
                                             const FleetView &fleet);

} // namespace monsoonward
