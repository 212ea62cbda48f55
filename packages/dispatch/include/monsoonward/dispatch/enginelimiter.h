#pragma once

#include "monsoonward/dispatch/enginelimits.h"
#include "monsoonward/dispatch/limitdivision.h"

namespace monsoonward
{

/// @brief What a gateway may send to an engine that states a limit.
struct EngineAllowance
{
    double perSecond = 0; ///< the limit, for all gateways together
    Duration age {}; ///< since the engine's newest statement
    double share = 0; ///< this gateway's part, in requests per second
    double available = 0; ///< requests that this gateway may send now
    MONSOONWARD_FIELDS(perSecond, age, share, available)
};

/// @brief Keeps this gateway within its shares of the limits that engines state.
class EngineLimiter
{
public:
    /// @param limits, division must outlive this object
    EngineLimiter(const EngineLimits &limits, const LimitDivision &division);

    /// @return the allowance of an engine that states a limit, otherwise nothing
    std::optional<EngineAllowance> allowanceOf(const EngineRecord &engine, TimePoint now);
    /// @param urgentShare fraction of the requests for the engine's service that are more urgent; the larger it is, the
    /// more is left to them
    /// @return whether a request may be sent to the engine now; true if it states no limit
    bool maySend(const EngineRecord &engine, double urgentShare, TimePoint now);
    /// A request is being sent to the engine.
    void requestSent(const EngineRecord &engine, TimePoint now);
    /// A request that requestSent() counted did not reach the engine.
    void requestNotSent(const EngineRecord &engine);
    /// @return requests per second that all gateways together may send to those of the engines that state limits
    double totalLimit(const std::vector<const EngineRecord *> &engines) const;
    /// Drops the buckets of engines that state no limit any more.
    void expire();

private:
    struct Share
    {
        explicit Share(TimePoint now)
            : bucket(now)
        {
        }
        TokenBucket bucket;
        double perSecond = 0;
        double limit = -1; // for which the share was computed
        TimePoint computedAt;
    };

    /// @return the refilled share of a limited engine
    Share &refilled(const EngineRecord &engine, double limit, TimePoint now);

    const EngineLimits &m_limits;
    const LimitDivision &m_division;
    std::map<EngineRun, Share> m_shares;
};

} // namespace monsoonward
