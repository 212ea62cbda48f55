#pragma once

#include "linkbudget.h"
#include "monsoonward/policy/requestspec.h"
#include "prefixindex.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace monsoonward
{

/// @brief A waiting request and what its placement depends on.
struct WaitingRequest
{
    const RequestSpec &spec;
    TimePoint waitingSince {};
    double outputTokens = 0; ///< estimated
};

/// @brief Chooses the targets at which a waiting request is reserved.
///
/// It starts with the targets that probably have the prompt's prefix in their cache, continues with the fastest ones in
/// the entry's region, adds more of them while the request waits, and uses the fastest ones of other regions last.
class Placement
{
public:
    Placement(const RegionName &region, const Clock &clock, Random &random);

    void configure(const ConfigurationPtr &configuration);
    void onTargetStatus(const TargetStatus &status);
    void onTargetGone(const TargetName &target);
    /// Assumes from now on that the target has the shared part of the prompt in its cache, and charges the body to the
    /// link budget if the target is in another region.
    void onHandedOver(const RequestSpec &spec, const TargetName &target);
    /// Learns from an arriving request which blocks are shared, that is, occur in more than one prompt.
    void recordPrefixes(const RequestSpec &spec);

    /// @return the targets to reserve at in addition to @p reserved
    std::vector<TargetName> targetsToReserve(const WaitingRequest &request, const std::vector<TargetName> &reserved);
    /// @param outputTokens estimated
    /// @return a lower bound on the service time in seconds: an idle target with the best prefill and decode speeds,
    /// and the shared part of the prompt cached; 0 until speeds are known
    double minServiceSeconds(const RequestSpec &spec, double outputTokens) const;
    /// @return whether any target accepts requests of the service
    bool serves(const ServiceName &service) const;
    /// @return whether a target in the entry's region accepts requests of the service
    bool servesInOwnRegion(const ServiceName &service) const;

private:
    struct Target
    {
        TargetStatus status;
        TargetName name;
        RegionName region;
        std::uint64_t nameHash = 0;
        PrefixIndex prefixes {0};
        double recentReservations = 0; ///< made by speed since its last status, which doesn't count them yet
    };

    /// @brief The best prefill and decode speeds among the usable targets of a service, refreshed periodically.
    struct BestSpeed
    {
        double prefillTokensPerSecond = 0;
        double decodeTokensPerSecond = 0;
        TimePoint updatedAt {};
    };

    /// Estimated service times in seconds and their targets, fastest first.
    using RankedTargets = std::vector<std::pair<double, TargetName>>;

    /// @return the estimated service time in seconds, given the load of the target
    static double estimateSeconds(const Target &target, const WaitingRequest &request, std::size_t cachedBlocks);
    static bool isUsable(const Target &target, const ServiceName &service);
    void recordCached(Target &target, PrefixHash block);
    /// @return the targets that probably have the block cached
    std::vector<Target *> targetsCaching(PrefixHash block);
    /// @return some targets with the longest cached beginning of the prompt. If there are none, the rendezvous target,
    /// but only if the first block is shared or the request has just begun to wait.
    RankedTargets cachingTargets(const WaitingRequest &request);
    /// Chooses a target by rendezvous hashing of the first block, so that all entries send a new prefix to the same
    /// one.
    Target *rendezvousTarget(const RequestSpec &spec);
    /// @param otherRegions whether targets in other regions may be used, as far as the link budget allows
    /// @return usable targets, without those in @p reserved
    RankedTargets
    rankTargets(const WaitingRequest &request, const std::vector<TargetName> &reserved, bool otherRegions);
    const BestSpeed &bestSpeed(const ServiceName &service) const;

    RegionName m_region;
    const Clock &m_clock;
    Random &m_random;
    ConfigurationPtr m_configuration;
    std::map<TargetName, Target> m_targets;
    std::vector<Target *> m_targetList; // points into m_targets
    // May list targets that have evicted the block since.
    std::unordered_map<PrefixHash, std::vector<Target *>> m_targetsByBlock;
    mutable std::map<ServiceName, BestSpeed> m_bestSpeeds;
    PrefixIndex m_seenBlocks; // of all prompts
    PrefixIndex m_sharedBlocks; // in more than one prompt
    LinkBudget m_linkBudget;
};

} // namespace monsoonward
