#include "monsoonward/dispatch/enginecontinuity.h"

namespace monsoonward
{

EngineContinuity::Ticket EngineContinuity::connectionOpened(const EngineName &engine, TimePoint now)
{
    auto &since = m_since[engine];
    auto ticket = since.lock();
    if (!ticket) {
        ticket = std::make_shared<const TimePoint>(now);
        since = ticket;
    }
    return ticket;
}

void EngineContinuity::connectionEnded(const EngineName &engine)
{
    m_since.erase(engine);
}

std::optional<TimePoint> EngineContinuity::connectedSince(const EngineName &engine) const
{
    const auto it = m_since.find(engine);
    const auto ticket = it == m_since.end() ? nullptr : it->second.lock();
    return ticket ? std::optional(*ticket) : std::nullopt;
}

} // namespace monsoonward
