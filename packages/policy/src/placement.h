#pragma once

#include "linkbudget.h"
#include "monsoonward/policy/requestspec.h"
#include "prefixindex.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace monsoonward
{

/// @brief A waiting request as the placement sees it.
struct WaitingView
{
    const RequestSpec &spec;
    TimePoint admittedAt {};
    double outputTokens = 0; ///< estimate
};

/// @brief Chooses the targets where a waiting request is reserved: first those that probably hold its prefix, then the
/// fastest in the entry's region, then more of them, and the other regions last.
class Placement
{
public:
    Placement(const RegionName &region, const Clock &clock, Random &random);

    void configure(const ConfigurationPtr &configuration);
    void onTargetStatus(const TargetStatus &status);
    void onTargetGone(const TargetName &target);
    /// The request's prefix is computed at the target from now on.
    void onHandedOver(const RequestSpec &spec, const TargetName &target);
    void seen(const RequestSpec &spec);

    /// @return targets to reserve at in addition to @p reserved
    std::vector<TargetName> targetsToReserve(const WaitingView &request, const std::vector<TargetName> &reserved);
    /// @return seconds that the fastest idle target needs, as if the prompt's shared part were cached
    /// @param outputTokens estimate
    double leastSeconds(const RequestSpec &spec, double outputTokens) const;
    bool serves(const ServiceName &service) const;
    /// @return whether a target of the own region may get requests of the service
    bool servesInOwnRegion(const ServiceName &service) const;

private:
    struct Target
    {
        TargetStatus status;
        TargetName name;
        RegionName region;
        std::uint64_t nameHash = 0;
        PrefixIndex prefixes {0};
        double recent = 0; ///< reservations placed since its last status
    };

    /// @brief Speeds of the fastest target of a service, refreshed now and then.
    struct BestSpeed
    {
        double prefillTokensPerSecond = 0;
        double decodeTokensPerSecond = 0;
        TimePoint at {};
    };

    using Scored = std::vector<std::pair<double, TargetName>>;

    static double score(const Target &target, const WaitingView &request, std::size_t cachedBlocks);
    static bool isUsable(const Target &target, const ServiceName &service);
    void hold(Target &target, PrefixHash block);
    std::vector<Target *> holdersOf(PrefixHash block);
    Scored holders(const WaitingView &request);
    Target *home(const RequestSpec &spec);
    Scored ranked(const WaitingView &request, const std::vector<TargetName> &reserved, bool spill);
    const BestSpeed &bestSpeed(const ServiceName &service) const;

    RegionName m_region;
    const Clock &m_clock;
    Random &m_random;
    ConfigurationPtr m_configuration;
    std::map<TargetName, Target> m_targets;
    std::vector<Target *> m_list; // of m_targets
    std::unordered_map<PrefixHash, std::vector<Target *>> m_holders; // may name targets that have forgotten the block
    mutable std::map<ServiceName, BestSpeed> m_best;
    PrefixIndex m_seen;
    PrefixIndex m_popular;
    LinkBudget m_link;
};

} // namespace monsoonward
