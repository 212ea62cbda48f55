#include "monsoonward/dispatch/enginelimits.h"

#include <algorithm>

namespace monsoonward
{

/// @return whether the limit changed
bool EngineLimits::apply(EngineRun run, const Statement &statement)
{
    const auto it = m_statements.find(run);
    if (it != m_statements.end()) {
        if (!it->second.perSecond && !statement.perSecond) {
            return false; // each success of an engine without a limit says so; its statement expires nevertheless
        }
        const bool isNews = it->second.perSecond != statement.perSecond;
        it->second = statement;
        return isNews;
    }
    if (!statement.perSecond || m_statements.size() >= maxRuns) {
        return false;
    }
    m_statements[run] = statement;
    return true;
}

bool EngineLimits::record(EngineRun run, std::optional<double> perSecond, TimePoint now)
{
    return apply(run, {perSecond, now, true});
}

std::vector<EngineLimitStatement> EngineLimits::report(TimePoint now)
{
    std::vector<EngineLimitStatement> statements;
    auto it = m_statements.upper_bound(m_lastReported);
    for (std::size_t n = 0; n < m_statements.size() && statements.size() < maxReported; ++n, ++it) {
        if (it == m_statements.end()) {
            it = m_statements.begin();
        }
        if (it->second.isOwn) {
            statements.push_back({it->first, it->second.perSecond, now - it->second.statedAt});
            m_lastReported = it->first;
        }
    }
    return statements;
}

std::vector<EngineLimitStatement> EngineLimits::addReport(const std::vector<EngineLimitStatement> &statements,
                                                          TimePoint now)
{
    std::vector<EngineLimitStatement> changes;
    for (const auto &it : statements) {
        const auto age = std::max(it.age, Duration::zero());
        const auto statedAt = now - age;
        const auto known = m_statements.find(it.run);
        const bool isOld = known != m_statements.end() && known->second.statedAt >= statedAt;
        if (age < statementLifetime && !isOld && apply(it.run, {it.perSecond, statedAt, false})) {
            changes.push_back(it);
        }
    }
    return changes;
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
