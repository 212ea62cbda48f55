#pragma once

#include "monsoonward/dispatch/rolloutjudge.h"
#include "monsoonward/dispatch/rolloutorder.h"
#include "monsoonward/dispatch/trialallowance.h"

namespace monsoonward
{

/// @brief Where a request of a service with a roll-out may be sent.
enum class VersionChoice {
    Any, ///< the roll-out has no part in it
    Old, ///< engines of any other version than the ordered one
    Trial, ///< the new version on trial; the old one if it can't be placed
    New, ///< the new version; the old one if it can't be placed
};

/// @brief What a gateway sees of the fleet when it decides on a roll-out.
struct RolloutSurroundings
{
    std::size_t reportingGateways = 0; ///< without this one
    std::size_t otherGateways = 0; ///< without this one, whether they report or not
    std::size_t stoppedGateways = 0; ///< reporting ones that have stopped sending to the old version
    std::uint32_t oldRequests = 0; ///< in progress at the old engines, from this gateway and those that report
    std::uint32_t serviceRequests = 0; ///< in progress at all engines of the service
    std::uint32_t oldSlots = 0; ///< of the old engines that may get requests
    std::uint32_t newSlots = 0; ///< of the new engines that may get requests
    MONSOONWARD_FIELDS(
        reportingGateways, otherGateways, stoppedGateways, oldRequests, serviceRequests, oldSlots, newSlots)
};

/// @brief The part of a roll-out at a gateway.
enum class RolloutPhase {
    Trial,
    Moving, ///< requests move to the new version
    Stopped, ///< nothing new is sent to the old version
    Bad, ///< nothing is sent to the new version
    Completed, ///< so stored
    RolledBack, ///< so stored
};

std::string textOf(RolloutPhase phase);

/// @brief One roll-out as one gateway sees and decides it.
class Rollout
{
public:
    static constexpr Duration moveTime = std::chrono::seconds(1); ///< requests move to the new version over this time
    /// Before the time limit, the decision is written at the latest.
    static constexpr Duration writeMargin = std::chrono::milliseconds(800); // a write and its retry

    /// @param orderedAt when the order was given, as far as it is known
    /// @param drainTime how long requests in progress may take
    /// @param slackPart, offset see TrialAllowance
    Rollout(RolloutOrder order,
            const RolloutLimits &limits,
            TimePoint orderedAt,
            Duration drainTime,
            double slackPart,
            double offset);

    const RolloutOrder &order() const;
    RolloutPhase phase() const;
    /// A request arrived that isn't a further attempt.
    void requestReceived();
    /// @param isFirstAttempt of the request
    /// @param isRepeatable whether the request may be run again after a failure
    /// @param uniformHash 0 to 1, of the request
    VersionChoice choose(bool isFirstAttempt, bool isRepeatable, double uniformHash, TimePoint now) const;
    /// A request was sent to the new version while it was on trial.
    void trialSent();
    void trialNotSent();
    /// An answer to this gateway ended, or failed to come.
    /// @param timeToFirstBytes nothing if it was bad
    void answered(RouteKey route, bool isNewVersion, std::optional<Duration> timeToFirstBytes);
    /// Another gateway has reported.
    void addReport(const HostName &host, const RolloutReport &report);
    /// @return what this gateway tells the others
    RolloutReport report() const;
    /// A state was stored for this order.
    void statusRead(const RolloutStatus &status);
    /// Moves on to the next phase if it is due. To be called several times a second.
    void advance(const RolloutSurroundings &around, TimePoint now);
    /// @return the state that should be stored by now; Active if nothing is decided
    RolloutState decision(const RolloutSurroundings &around, TimePoint now) const;
    /// @return why the roll-out is rolled back or waits, for the stored row and the log
    const std::string &reason() const;
    /// @return number of engines to use for the trial
    std::size_t trialEngines(std::size_t newEngines) const;
    const RolloutJudge &judge() const;
    /// @return when requests begin to move
    TimePoint moveAt() const;
    TimePoint limitAt() const;

private:
    bool isTriedEnough() const;
    void judgeNow();
    void setBad(const std::string &reason);

    RolloutOrder m_order;
    TimePoint m_orderedAt;
    TimePoint m_moveAt;
    TimePoint m_movingSince;
    TrialAllowance m_allowance;
    RolloutJudge m_judge;
    RolloutPhase m_phase = RolloutPhase::Trial;
    std::string m_reason;
    std::map<RouteKey, RouteCounts> m_own;
    std::map<RouteKey, RouteCounts> m_ownJudged; // part of m_own that was given to m_judge
    std::map<HostName, RolloutReport> m_reports;
    bool m_hasAnotherMoved = false; // a gateway that hears enough has found the version tried enough
    TimePoint m_forgottenAt;
};

} // namespace monsoonward
