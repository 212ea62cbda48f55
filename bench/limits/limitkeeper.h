#pragma once

#include <monsoonward/dispatch/dispatch.h>

#include <memory>
#include <string>
#include <vector>

namespace monsoonward
{

/// @brief A way to keep the limit of an engine over all gateways.
enum class LimitMethod {
    Separate, ///< each gateway keeps the whole limit
    Even, ///< each gateway has an even share
    CopiedBucket, ///< each gateway has a copy of one token bucket, as for customers' limits
    Divided, ///< shares by demand, small ones pooled: the gateway's own method
};

std::string textOf(LimitMethod method);

/// @brief How one gateway keeps the limits of engines, with what it hears from the others.
class LimitKeeper
{
public:
    virtual ~LimitKeeper() = default;
    /// Takes a request to the engine if it is within this gateway's part of the limit.
    virtual bool take(const EngineRecord &engine, TimePoint now) = 0;
    /// Adds what the others need to know.
    virtual void fill(LoadReport &report, TimePoint now) = 0;
    virtual void receive(const LoadReport &report, TimePoint now) = 0;
};

/// @brief What the gateways of a simulated fleet have in common.
struct FleetOutline
{
    std::vector<HostName> hosts;
    std::vector<EngineRecord> engines;
    double limit = 0; ///< of each engine, in requests per second
    MONSOONWARD_FIELDS(hosts, engines, limit)
};

/// @param outline must outlive the keeper
std::unique_ptr<LimitKeeper>
makeLimitKeeper(LimitMethod method, const FleetOutline &outline, const HostName &own, TimePoint now);

} // namespace monsoonward
