#pragma once

#include <monsoonward/values/values.h>

#include <map>

namespace monsoonward
{

/// @brief A circuit breaker for each engine, based on the results of this daemon's requests. After consecutive failures
/// an engine is paused for a time that doubles with each further failure. Then one request at a time probes the engine
/// until one succeeds. An engine may also ask for a pause itself.
class EngineHealth
{
public:
    /// About the time after which a lost packet is retransmitted.
    static constexpr Duration initialPause = std::chrono::milliseconds(250);
    static constexpr Duration maxPause = std::chrono::seconds(2); // engines are available a few seconds after a crash

    /// Upper bound of the pause that an engine may ask for; a longer one is taken for an error.
    static constexpr Duration maxRequestedPause = std::chrono::minutes(2);

    /// @return whether a request may be sent to the engine now
    bool isAvailable(const EngineName &engine, TimePoint now) const;
    /// A request is being sent to the engine.
    void recordAttempt(const EngineName &engine, TimePoint now);
    void recordSuccess(const EngineName &engine);
    /// Counts a failed request and pauses the engine if the threshold of consecutive failures is reached.
    /// @return whether this failure started a series of pauses
    bool recordFailure(const EngineName &engine, TimePoint now);
    /// The engine rejected a request and asked for no more during @p length. Afterwards it is probed like after
    /// failures, and gets a growing share of the requests as they succeed.
    void recordRequestedPause(const EngineName &engine, Duration length, TimePoint now);
    /// @return when the engine's pauses end; in the past if it isn't paused
    TimePoint pausedUntil(const EngineName &engine) const;
    /// @return moving average of the fraction of requests that failed, 0 to 1
    double failureRate(const EngineName &engine) const;
    void forget(const EngineName &engine);

private:
    struct State
    {
        unsigned failures = 0; // consecutive
        double failureRate = 0;
        TimePoint pausedUntil;
        TimePoint requestedPauseUntil; // not shortened by results of earlier requests
        bool isProbing = false; // a request was sent after a pause and has no result yet
        TimePoint probedAt;
    };

    std::map<EngineName, State> m_states;
};

} // namespace monsoonward
