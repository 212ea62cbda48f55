#include "monsoonward/dispatch/enginelimits.h"

namespace monsoonward
{

bool EngineLimits::record(EngineRun run, std::optional<double> perSecond, TimePoint now)
{
    const auto it = m_statements.find(run);
    if (it == m_statements.end()) {
        if (perSecond) {
            m_statements[run] = {perSecond, now};
        }
        return perSecond.has_value();
    }
    const bool isNews = it->second.perSecond != perSecond;
    it->second = {perSecond, now};
    return isNews;
}

bool EngineLimits::recordMalformed(EngineRun run, TimePoint now)
{
    return m_malformed.insert_or_assign(run, now).second;
}

std::optional<double> EngineLimits::limitOf(EngineRun run) const
{
    const auto it = m_statements.find(run);
    return it == m_statements.end() ? std::nullopt : it->second.perSecond;
}

std::optional<Duration> EngineLimits::ageOf(EngineRun run, TimePoint now) const
{
    const auto it = m_statements.find(run);
    return it == m_statements.end() ? std::nullopt : std::optional<Duration>(now - it->second.statedAt);
}

bool EngineLimits::isEmpty() const
{
    return m_statements.empty();
}

void EngineLimits::expire(TimePoint now)
{
    for (auto it = m_malformed.begin(); it != m_malformed.end();) {
        it = now - it->second > statementLifetime ? m_malformed.erase(it) : std::next(it);
    }
    for (auto it = m_statements.begin(); it != m_statements.end();) {
        it = now - it->second.statedAt > statementLifetime ? m_statements.erase(it) : std::next(it);
    }
}

} // namespace monsoonward
