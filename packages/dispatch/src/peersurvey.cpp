#include "monsoonward/dispatch/peersurvey.h"

#include <algorithm>

namespace monsoonward
{

PeerSurvey::PeerSurvey(HostName own)
    : m_own(std::move(own))
{
}

void PeerSurvey::membersListed(const std::vector<HostName> &members, TimePoint now)
{
    m_startedAt = m_startedAt.value_or(now);
    m_awaited.clear();
    std::copy_if(members.begin(), members.end(), std::back_inserter(m_awaited), [this](const HostName &it) {
        return it != m_own;
    });
}

bool PeerSurvey::isComplete(const FleetView &fleet, TimePoint now)
{
    const auto hasReported = [&](const HostName &it) { return fleet.isReporting(it, now); };
    m_hasEnded = m_hasEnded
        || (m_startedAt
            && (now - *m_startedAt >= answerTimeout || std::all_of(m_awaited.begin(), m_awaited.end(), hasReported)));
    return m_hasEnded;
}

bool PeerSurvey::mayProve(const FleetView &fleet, TimePoint now)
{
    m_waitingSince = m_waitingSince.value_or(now);
    return isComplete(fleet, now) || (!m_startedAt && now - *m_waitingSince >= maxWait);
}

bool PeerSurvey::hasEnded() const
{
    return m_hasEnded;
}

} // namespace monsoonward
