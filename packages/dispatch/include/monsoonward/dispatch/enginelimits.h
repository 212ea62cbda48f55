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
/// it states one.
class EngineLimits
{
public:
    /// A statement is dropped when it has not been repeated for this time.
    static constexpr Duration statementLifetime = std::chrono::minutes(5);
    /// Larger limits are malformed.
    static constexpr double maxPerSecond = 1e6;

    /// A response of the run stated a limit, or none.
    /// @return whether this differs from the newest statement
    bool record(EngineRun run, std::optional<double> perSecond, TimePoint now);
    /// A response of the run stated a limit that can't be read. It changes nothing.
    /// @return whether this was not known of the run
    bool recordMalformed(EngineRun run, TimePoint now);
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
    };

    std::map<EngineRun, Statement> m_statements;
    std::map<EngineRun, TimePoint> m_malformed; // time of the newest malformed limit
};

} // namespace monsoonward
