#pragma once

#include "monsoonward/dispatch/fleetview.h"

namespace monsoonward
{

/// @brief Tells when a daemon that has started knows what its peers hold. Until then, nothing that the store says
/// proves that the configuration is current: the store may have been restored from a copy while this daemon wasn't
/// running.
///
/// The survey begins when the list of daemons has been read for the first time. It ends when each listed daemon has
/// reported, or after the timeout: a peer that is stopped or cut off must not keep this daemon from serving.
class PeerSurvey
{
public:
    /// Three questions 200 ms apart at most, and a round trip between regions after the last one, are shorter.
    static constexpr Duration answerTimeout = std::chrono::milliseconds(600);
    /// A daemon that can read the configuration and not the list of daemons serves after this time.
    static constexpr Duration maxWait = std::chrono::seconds(2);

    /// @param own this daemon, which isn't waited for
    explicit PeerSurvey(HostName own);

    /// The list of registered daemons was read.
    void membersListed(const std::vector<HostName> &members, TimePoint now);
    /// @param fleet what the peers have reported
    bool isComplete(const FleetView &fleet, TimePoint now);
    /// @return whether an answer of the store may be taken as a proof: the survey is complete, or no list of daemons
    /// could be read for maxWait since the first call
    bool mayProve(const FleetView &fleet, TimePoint now);
    /// @return whether isComplete() has returned true
    bool hasEnded() const;

private:
    HostName m_own;
    std::vector<HostName> m_awaited;
    std::optional<TimePoint> m_startedAt;
    std::optional<TimePoint> m_waitingSince; // for a proof
    bool m_hasEnded = false;
};

} // namespace monsoonward
