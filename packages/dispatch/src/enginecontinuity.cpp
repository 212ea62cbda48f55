#include "monsoonward/dispatch/enginecontinuity.h"

#include "monsoonward/dispatch/enginedirectory.h"

namespace monsoonward
{

EngineContinuity::Ticket EngineContinuity::connectionOpened(const EngineName &engine, TimePoint now)
{
    auto &run = m_runs[engine];
    auto ticket = run.lock();
    if (!ticket) {
        const auto ending = m_endings.find(engine);
        const auto registeredBy =
            ending == m_endings.end() ? now : std::max(now, ending->second.at + EngineDirectory::registrationDelay);
        ticket = std::make_shared<const ConnectedRun>(ConnectedRun {now, registeredBy});
        run = ticket;
    }
    return ticket;
}

void EngineContinuity::connectionEnded(const EngineName &engine, TimePoint now)
{
    auto &ending = m_endings[engine];
    ending.at = now;
    const auto run = m_runs.find(engine);
    if (run == m_runs.end()) {
        return;
    }
    if (ending.former.expired()) {
        ending.former = run->second;
    }
    m_runs.erase(run);
}

void EngineContinuity::bytesReceived(const EngineName &engine, const Ticket &ticket, TimePoint now)
{
    if (m_endings.empty() || !ticket) {
        return;
    }
    const auto ending = m_endings.find(engine);
    if (ending != m_endings.end() && now - ending->second.at >= deliveryTime
        && ending->second.former.lock() == ticket) {
        m_runs[engine] = ticket;
        m_endings.erase(ending);
    }
}

std::optional<TimePoint> EngineContinuity::connectedSince(const EngineName &engine) const
{
    const auto it = m_runs.find(engine);
    const auto ticket = it == m_runs.end() ? nullptr : it->second.lock();
    return ticket ? std::optional(ticket->since) : std::nullopt;
}

bool EngineContinuity::mayHaveStartedAgain(const EngineName &engine, std::optional<TimePoint> readAsOf) const
{
    const auto ending = m_endings.find(engine);
    return ending != m_endings.end()
        && (!readAsOf || *readAsOf < ending->second.at + EngineDirectory::registrationDelay);
}

void EngineContinuity::forget(const EngineName &engine)
{
    m_runs.erase(engine);
    m_endings.erase(engine);
}

} // namespace monsoonward
