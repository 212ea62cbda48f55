#include "monsoonward/dispatch/rollout.h"

#include "monsoonward/dispatch/texthash.h"

#include <algorithm>
#include <cmath>

namespace monsoonward
{

namespace
{

constexpr double earliestMove =
    0.6; // of the time limit: until then a version that fails late gets its trial share only
constexpr Duration reportTime = std::chrono::seconds(2); // until all gateways have said that they stopped
constexpr std::uint32_t answersBeforeOnce = 15; // from routes that may be repeated, before others are tried
constexpr std::uint32_t minAnswers = 20; // of the new version, before requests move
constexpr double maxAnswersOfRoute = 5; // the same for a route; at light load an eighth of its share of all answers
constexpr double minRouteShare = 0.02; // a route with less isn't waited for
constexpr double maxEvidence = 0.6; // of a verdict; requests don't move while a test is on its way to a verdict
constexpr double capacityReserve = 1.2; // slots of the new engines for each request in progress

} // namespace

std::string textOf(RolloutPhase phase)
{
    switch (phase) {
    case RolloutPhase::Trial:
        return "trial";
    case RolloutPhase::Moving:
        return "moving";
    case RolloutPhase::Stopped:
        return "stopped";
    case RolloutPhase::Bad:
        return "bad";
    case RolloutPhase::Completed:
        return "completed";
    case RolloutPhase::RolledBack:
        break;
    }
    return "rolled-back";
}

Rollout::Rollout(RolloutOrder order,
                 const RolloutLimits &limits,
                 TimePoint orderedAt,
                 Duration drainTime,
                 double slackPart,
                 double offset)
    : m_order(std::move(order))
    , m_orderedAt(orderedAt)
    , m_allowance(limits, slackPart, offset)
    , m_forgottenAt(orderedAt)
{
    const auto earliest = std::chrono::duration_cast<Duration>(m_order.timeLimit * earliestMove);
    m_moveAt = orderedAt + std::max(earliest, m_order.timeLimit - drainTime - reportTime);
}

const RolloutOrder &Rollout::order() const
{
    return m_order;
}

RolloutPhase Rollout::phase() const
{
    return m_phase;
}

const std::string &Rollout::reason() const
{
    return m_reason;
}

const RolloutJudge &Rollout::judge() const
{
    return m_judge;
}

TimePoint Rollout::moveAt() const
{
    return m_moveAt;
}

TimePoint Rollout::limitAt() const
{
    return m_orderedAt + m_order.timeLimit;
}

void Rollout::requestReceived()
{
    m_allowance.requestReceived();
}

VersionChoice Rollout::choose(bool isFirstAttempt, bool isRepeatable, double uniformHash, TimePoint now) const
{
    switch (m_phase) {
    case RolloutPhase::Trial: {
        const bool isTurn = isRepeatable || m_judge.answers() >= answersBeforeOnce;
        return isFirstAttempt && isTurn && m_allowance.mayTry() ? VersionChoice::Trial : VersionChoice::Old;
    }
    case RolloutPhase::Moving: {
        using Seconds = std::chrono::duration<double>;
        const bool isMoved = uniformHash * Seconds(moveTime).count() < Seconds(now - m_movingSince).count();
        return isMoved && isFirstAttempt ? VersionChoice::New : VersionChoice::Old;
    }
    case RolloutPhase::Stopped:
    case RolloutPhase::Completed:
        return VersionChoice::New;
    case RolloutPhase::Bad:
    case RolloutPhase::RolledBack:
        break;
    }
    return VersionChoice::Old;
}

void Rollout::trialSent()
{
    m_allowance.requestTried();
}

void Rollout::trialNotSent()
{
    m_allowance.requestNotSent();
}

void Rollout::answered(RouteKey route, bool isNewVersion, std::optional<Duration> timeToFirstBytes)
{
    auto &counts = isNewVersion ? m_own[route].newVersion : m_own[route].oldVersion;
    if (timeToFirstBytes) {
        ++counts.times[AnswerCounts::bucketOf(*timeToFirstBytes)];
    } else {
        ++counts.failures;
    }
    if (isNewVersion) {
        judgeNow();
    }
}

void Rollout::judgeNow()
{
    for (const auto &[route, counts] : m_own) {
        auto &judged = m_ownJudged[route];
        m_judge.add(route, {counts.newVersion.since(judged.newVersion), counts.oldVersion.since(judged.oldVersion)});
        judged = counts;
    }
    if (const auto bad = m_judge.badReason()) {
        setBad(*bad);
    }
}

void Rollout::setBad(const std::string &reason)
{
    if (m_phase == RolloutPhase::Trial || m_phase == RolloutPhase::Moving || m_phase == RolloutPhase::Stopped) {
        m_phase = RolloutPhase::Bad;
        m_reason = reason;
    }
}

void Rollout::addReport(const HostName &host, const RolloutReport &report)
{
    if (report.orderId != m_order.id || report.serviceHash != hashOf(m_order.service.text())) {
        return;
    }
    auto &last = m_reports[host];
    for (const auto &[route, counts] : report.routes) {
        const auto &former = last.routes[route];
        m_judge.add(route, {counts.newVersion.since(former.newVersion), counts.oldVersion.since(former.oldVersion)});
    }
    last = report;
    m_hasAnotherMoved = m_hasAnotherMoved || report.hasStoppedOld;
    if (report.isBad) {
        setBad("reported by " + host.text());
    } else if (const auto bad = m_judge.badReason()) {
        setBad(*bad);
    }
}

RolloutReport Rollout::report() const
{
    return {m_order.id,
            hashOf(m_order.service.text()),
            m_phase == RolloutPhase::Bad,
            m_phase == RolloutPhase::Stopped,
            m_own};
}

void Rollout::statusRead(const RolloutStatus &status)
{
    if (status.state == RolloutState::Completed) {
        m_phase = RolloutPhase::Completed;
    } else if (status.state == RolloutState::RolledBack) {
        m_phase = RolloutPhase::RolledBack;
        m_reason = status.reason;
    }
}

bool Rollout::isTriedEnough() const
{
    const auto isTried = [&](RouteKey route) {
        const auto share = m_judge.shareOf(route);
        const auto expected = std::min(maxAnswersOfRoute, std::max(1.0, share * m_judge.answers() / 8));
        return share < minRouteShare || m_judge.answersOf(route) >= expected;
    };
    // Routes without requests at this gateway are the concern of others.
    return m_judge.answers() >= minAnswers && m_judge.evidence() < maxEvidence
        && std::all_of(m_own.begin(), m_own.end(), [&](const auto &it) { return isTried(it.first); });
}

void Rollout::advance(const RolloutSurroundings &around, TimePoint now)
{
    judgeNow();
    if (now - m_forgottenAt >= std::chrono::seconds(1)) {
        m_forgottenAt = now;
        m_judge.forgetSlowly();
    }
    const auto lateBy = now - limitAt();
    if (m_phase == RolloutPhase::Trial && now >= m_moveAt) {
        const bool hearsFleet = around.reportingGateways * 2 >= around.otherGateways;
        const auto needed = std::min<double>(around.oldSlots, around.serviceRequests * capacityReserve);
        const bool canCarry = around.newSlots > 0 && around.newSlots >= needed;
        m_reason = !hearsFleet                       ? "hears too few gateways"
            : !canCarry                              ? "new engines have too few slots"
            : !isTriedEnough() && !m_hasAnotherMoved ? "not tried enough"
            : lateBy > -(moveTime + writeMargin)     ? "too late to move the requests"
                                                     : "";
        if (m_reason.empty()) {
            m_phase = RolloutPhase::Moving;
            m_movingSince = now;
        } else if (lateBy >= -writeMargin && (hearsFleet || lateBy >= Duration::zero())) {
            setBad(std::string(m_reason));
        }
    }
    if (m_phase == RolloutPhase::Moving && now - m_movingSince >= moveTime) {
        m_phase = RolloutPhase::Stopped;
    }
}

RolloutState Rollout::decision(const RolloutSurroundings &around, TimePoint now) const
{
    if (m_phase == RolloutPhase::Bad || m_phase == RolloutPhase::RolledBack) {
        return RolloutState::RolledBack;
    }
    if (m_phase == RolloutPhase::Completed) {
        return RolloutState::Completed;
    }
    const bool isLast = now >= limitAt() - writeMargin;
    const bool isDrained = around.stoppedGateways == around.otherGateways && around.oldRequests == 0;
    return m_phase == RolloutPhase::Stopped && (isDrained || isLast) ? RolloutState::Completed : RolloutState::Active;
}

std::size_t Rollout::trialEngines(std::size_t newEngines) const
{
    const auto n = static_cast<std::size_t>(std::ceil(static_cast<double>(newEngines) * m_allowance.share()));
    return std::min(newEngines, std::max<std::size_t>(n, 1));
}

} // namespace monsoonward
