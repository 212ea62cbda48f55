#pragma once

#include "monsoonward/dispatch/enginerun.h"

#include <map>
#include <optional>
#include <vector>

namespace monsoonward
{

/// @brief What an engine said in a response about the requests that it takes from all gateways together.
struct EngineLimitStatement
{
    EngineRun run = 0;
    std::optional<double> perSecond {}; ///< requests per second; nothing if the engine states no limit any more
    Duration age {};
    MONSOONWARD_FIELDS(run, perSecond, age)
};

/// @brief The limits that engines state, by the newest statement of each run of an engine. A new run has no limit until
/// it states one. Each gateway reports what engines have stated to itself, and takes from the others' reports what is
/// newer.
class EngineLimits
{
public:
    /// A statement is dropped when it has not been repeated for this time.
    static constexpr Duration statementLifetime = std::chrono::minutes(5);
    /// Statements in one report.
    static constexpr std::size_t maxReported = 64;
    /// Runs with statements; those of further runs are ignored.
    static constexpr std::size_t maxRuns = 4096;
    /// Larger limits are malformed.
    static constexpr double maxPerSecond = 1e6;

    /// A response of the run stated a limit, or none.
    /// @return whether this differs from the newest statement
    bool record(EngineRun run, std::optional<double> perSecond, TimePoint now);
    /// A response of the run stated a limit that can't be read. It changes nothing.
    /// @return whether this was not known of the run
    bool recordMalformed(EngineRun run, TimePoint now);
    /// @return statements in responses to this gateway that no newer one of another gateway replaces. One report holds
    /// a part of them if there are many; the next one continues.
    std::vector<EngineLimitStatement> report(TimePoint now);
    /// Takes what another gateway has reported.
    /// @return statements that changed a limit
    std::vector<EngineLimitStatement> addReport(const std::vector<EngineLimitStatement> &statements, TimePoint now);
    /// @return the run's limit in requests per second, or nothing if it has none
    std::optional<double> limitOf(EngineRun run) const;
    /// @return the age of the newest statement of the run, or nothing if there is none
    std::optional<Duration> ageOf(EngineRun run, TimePoint now) const;
    /// @return whether no run is known to have or to have had a limit
    bool isEmpty() const;
    /// Drops old statements.
    void expire(TimePoint now);

private:
    struct Statement
    {
        std::optional<double> perSecond;
        TimePoint statedAt;
        bool isOwn = true; // in a response to this gateway
    };

    bool apply(EngineRun run, const Statement &statement);

    std::map<EngineRun, Statement> m_statements;
    std::map<EngineRun, TimePoint> m_malformed; // time of the newest malformed limit
    EngineRun m_lastReported = 0;
};

} // namespace monsoonward
