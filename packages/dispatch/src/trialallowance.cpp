#include "monsoonward/dispatch/trialallowance.h"

namespace monsoonward
{

TrialAllowance::TrialAllowance(const RolloutLimits &limits, double slackPart, double offset)
    : m_share(limits.exposureShare * usedPart)
    , m_left(limits.exposureSlack * usedPart * slackPart + offset)
{
}

void TrialAllowance::requestReceived()
{
    m_left += m_share;
}

bool TrialAllowance::mayTry() const
{
    return m_left >= 1;
}

void TrialAllowance::requestTried()
{
    m_left -= 1;
}

void TrialAllowance::requestNotSent()
{
    m_left += 1;
}

double TrialAllowance::share() const
{
    return m_share;
}

} // namespace monsoonward
