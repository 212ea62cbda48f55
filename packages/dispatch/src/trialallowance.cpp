#include "monsoonward/dispatch/trialallowance.h"

namespace monsoonward
{

TrialAllowance::TrialAllowance(const RolloutLimits &limits, double slackPart)
    : m_share(limits.exposureShare * usedPart)
    , m_slack(limits.exposureSlack * usedPart * slackPart)
{
}

void TrialAllowance::requestReceived(RouteKey route)
{
    m_left[route] += m_share;
}

bool TrialAllowance::mayTry(RouteKey route) const
{
    const auto it = m_left.find(route);
    return (it == m_left.end() ? 0 : it->second) + m_slack >= 1;
}

void TrialAllowance::requestTried(RouteKey route)
{
    auto &left = m_left[route];
    left -= 1;
    if (left < 0) {
        m_slack += left;
        left = 0;
    }
}

void TrialAllowance::requestNotSent(RouteKey route)
{
    m_left[route] += 1;
}

double TrialAllowance::share() const
{
    return m_share;
}

} // namespace monsoonward
