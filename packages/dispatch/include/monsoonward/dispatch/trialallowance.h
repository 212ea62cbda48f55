#pragma once

#include "monsoonward/dispatch/rolloutcounts.h"
#include "monsoonward/dispatch/rolloutorder.h"

namespace monsoonward
{

/// @brief How many requests a gateway may send to a version on trial: a share of the requests that it gets itself, and
/// its part of the slack. The sum over all gateways keeps the limits whoever hears whom.
class TrialAllowance
{
public:
    /// Part of the limits that trials use. The rest is for requests on their way when a version is found bad.
    static constexpr double usedPart = 0.4;

    /// @param slackPart fraction of the slack that is this gateway's; 0 if it started after the order
    TrialAllowance(const RolloutLimits &limits, double slackPart);

    /// The gateway got a request for the service.
    void requestReceived(RouteKey route);
    /// @return whether a request of the route may be sent to the version
    bool mayTry(RouteKey route) const;
    void requestTried(RouteKey route);
    /// A request that counts as tried wasn't sent.
    void requestNotSent(RouteKey route);
    /// @return fraction of requests that may be tried
    double share() const;

private:
    double m_share;
    double m_slack;
    std::map<RouteKey, double> m_left; // by route, so that each one is tried in proportion to its requests
};

} // namespace monsoonward
