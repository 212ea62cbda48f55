#pragma once

#include "monsoonward/dispatch/fleetview.h"
#include "monsoonward/dispatch/placement.h"
#include "monsoonward/dispatch/rollout.h"

namespace monsoonward
{

/// @brief What a request may be sent to because of roll-outs.
struct RolloutChoice
{
    VersionChoice version = VersionChoice::Any;
    std::vector<EngineBuild> excludedBuilds; ///< for the first placement
    std::vector<EngineName> excludedEngines; ///< new engines that the trial leaves out
    std::vector<EngineBuild> fallbackExcludedBuilds; ///< if the request wasn't placed
    MONSOONWARD_FIELDS(version, excludedBuilds, excludedEngines, fallbackExcludedBuilds)
};

/// @brief The roll-outs of all services at one gateway, and the versions that get nothing until their order is known.
class Rollouts
{
public:
    /// After completion, nothing is sent to other versions for this long; then a later release may bring one.
    static constexpr Duration completedMemory = std::chrono::seconds(15);

    /// @param directory, fleet must outlive this object
    /// @param topology trials go to engines of the own region, if it has any of the version
    Rollouts(const RolloutLimits &limits,
             HostName own,
             const EngineDirectory &directory,
             const FleetView &fleet,
             Topology topology = {});

    bool isEnabled() const;
    /// An order was read, or one that is known already.
    /// @param orderedAt when it was given, as far as it is known
    /// @param wasRunning whether this gateway was running then
    /// @return whether it is new
    bool orderRead(const RolloutOrder &order, TimePoint orderedAt, Duration drainTime, bool wasRunning);
    /// Ends the service's roll-out because another order came. Its version gets nothing more unless it was completed.
    void abandon(const ServiceName &service);
    /// The order for the service is gone.
    void orderRemoved(const ServiceName &service);
    /// @return whether the row names a known order
    bool statusRead(const RolloutStatus &status, TimePoint now);
    /// An engine is registered.
    /// @return whether its version is new, so that the operators' table must be read before it gets requests
    bool engineSeen(const EngineRecord &engine, TimePoint now);
    /// All orders given before @p at have been read.
    void ordersRead(TimePoint at);

    /// @return whether versions wait for ordersRead()
    bool hasPendingVersions() const;
    /// @return versions of the service that streams mustn't go on at, either
    std::vector<EngineBuild> badBuilds(const ServiceName &service) const;

    /// @return null if the service has none
    Rollout *find(const ServiceName &service);
    const std::map<ServiceName, Rollout> &all() const;
    /// @return whether the engine has the version that is being rolled out
    bool isOfNewVersion(const EngineRecord &engine) const;
    RolloutChoice
    choose(const ServiceName &service, bool isFirstAttempt, bool isRepeatable, double hash, TimePoint now);
    void addReports(const HostName &host, const std::vector<RolloutReport> &reports);
    /// @return of roll-outs that aren't stored as ended
    std::vector<RolloutReport> reports() const;
    RolloutSurroundings surroundings(const ServiceName &service,
                                     const std::map<EngineName, std::uint32_t> &ownRequests,
                                     TimePoint now) const;

private:
    std::vector<EngineBuild> withheld(const ServiceName &service) const;
    std::vector<EngineName> enginesLeftOut(const Rollout &rollout) const;

    RolloutLimits m_limits;
    HostName m_own;
    const EngineDirectory &m_directory;
    const FleetView &m_fleet;
    Topology m_topology;
    std::map<ServiceName, Rollout> m_rollouts;
    std::map<ServiceName, std::map<HostName, RolloutReport>> m_heard;
    std::map<ServiceName, TimePoint> m_completedAt;
    std::map<EngineBuild, TimePoint> m_pending; // first seen since, of versions whose order may not be known yet
    std::set<EngineBuild> m_known; // versions that may get requests
    std::map<ServiceName, std::set<std::string>> m_distrusted; // versions of orders that were replaced
};

} // namespace monsoonward
