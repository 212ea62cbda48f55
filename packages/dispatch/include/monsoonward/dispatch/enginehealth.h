#pragma once

#include <monsoonward/values/values.h>

#include <map>

namespace monsoonward
{

/// @brief Judges engines by what this daemon's requests met there. An engine that fails is left out for a time that
/// doubles with each failure in a row; after it one request at a time tries the engine until one succeeds.
class EngineHealth
{
public:
    static constexpr Duration firstPause = std::chrono::milliseconds(250); // about a lost packet's repeat
    static constexpr Duration longestPause = std::chrono::seconds(2); // engines are back some seconds after a crash

    /// @return whether the engine may get a request now
    bool isAvailable(const EngineName &engine, TimePoint now) const;
    /// A request is sent to the engine.
    void recordAttempt(const EngineName &engine, TimePoint now);
    void recordSuccess(const EngineName &engine);
    /// @return whether the engine has just been left out
    bool recordFailure(const EngineName &engine, TimePoint now);
    /// @return part of the latest requests that failed, 0 to 1
    double failureRate(const EngineName &engine) const;
    void forget(const EngineName &engine);

private:
    struct State
    {
        unsigned failures = 0; // in a row
        double failureRate = 0;
        TimePoint pausedUntil;
        bool isTrying = false; // one request is on its way after a pause
        TimePoint triedAt;
    };

    std::map<EngineName, State> m_states;
};

} // namespace monsoonward
