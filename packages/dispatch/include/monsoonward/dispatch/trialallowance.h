#pragma once

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
    /// @param offset 0 to 1, uniformly distributed over gateways, so that fractions of a request add up over them
    TrialAllowance(const RolloutLimits &limits, double slackPart, double offset);

    /// The gateway got a request for the service.
    void requestReceived();
    /// @return whether a request may be sent to the version
    bool mayTry() const;
    void requestTried();
    /// A request that counts as tried wasn't sent.
    void requestNotSent();
    /// @return fraction of requests that may be tried
    double share() const;

private:
    double m_share;
    double m_left; // requests that may be tried now
};

} // namespace monsoonward
