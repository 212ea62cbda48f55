// Which version of a service's engines an exchange may use during a roll-out, and what it reports of their answers.
#include "exchange.h"

namespace monsoonward
{

Placement Exchange::place(TimePoint now)
{
    auto request = placementRequest();
    m_isTrial = false;
    if (!m_core.rollouts.isEnabled()) {
        return m_core.placer->place(request, now);
    }
    if (m_streamBuild) {
        request.excludedBuilds = m_core.rollouts.badBuilds(m_service);
        return m_core.placer->place(request, now);
    }
    const bool isRepeatable = m_route->repeatability != Repeatability::Once;
    const auto choice = m_core.rollouts.choose(m_service, m_attempts == 0, isRepeatable, request.uniformHash, now);
    auto limited = request;
    limited.excludedBuilds = choice.excludedBuilds;
    limited.excludedEngines.insert(
        limited.excludedEngines.end(), choice.excludedEngines.begin(), choice.excludedEngines.end());
    auto placement = m_core.placer->place(limited, now);
    if (placement.outcome != PlacementOutcome::Placed && choice.excludedBuilds != choice.fallbackExcludedBuilds) {
        request.excludedBuilds = choice.fallbackExcludedBuilds;
        placement = m_core.placer->place(request, now);
    }
    m_isTrial = choice.version == VersionChoice::Trial && placement.outcome == PlacementOutcome::Placed
        && m_core.rollouts.isOfNewVersion(placement.engine);
    return placement;
}

void Exchange::recordTrial(bool isSent)
{
    auto *rollout = m_isTrial ? m_core.rollouts.find(m_service) : nullptr;
    if (rollout != nullptr && isSent) {
        rollout->trialSent();
    } else if (rollout != nullptr) {
        rollout->trialNotSent();
    }
}

void Exchange::recordVersionAnswer(const EngineRecord &engine, std::optional<Duration> time)
{
    auto *rollout = m_core.rollouts.find(m_service);
    if (rollout == nullptr || engine.service != m_service) {
        return;
    }
    const auto former = rollout->phase();
    rollout->answered(hashOf(m_route->name), m_core.rollouts.isOfNewVersion(engine), time);
    if (rollout->phase() != former && rollout->phase() == RolloutPhase::Bad && m_core.onVersionBad) {
        m_core.onVersionBad(m_service);
    }
}

} // namespace monsoonward
