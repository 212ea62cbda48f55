#pragma once

#include <monsoonward/values/values.h>

#include <memory>
#include <string>
#include <vector>

namespace monsoonward
{

/// @brief A part of the daemon that the supervisor starts, watches and stops.
class Child
{
public:
    virtual ~Child() = default;
    virtual std::string name() const = 0;
    /// Starts the part, for the first time or again after stop().
    virtual Result<void> start() = 0;
    virtual void stop() = 0;
    /// @return why the part no longer works, or nothing while it does
    virtual std::optional<std::string> failure();
};

/// @brief How often and how fast a failed child is started again.
struct RestartPolicy
{
    unsigned maxRestarts = 5; ///< of one child within the window; one more ends the daemon
    Duration window = std::chrono::minutes(1);
    Duration firstWait = std::chrono::milliseconds(100); ///< doubles with each restart within the window
    MONSOONWARD_FIELDS(maxRestarts, window, firstWait)
};

/// @brief Starts children in order and stops them in reverse order. A failed child is started again with backoff,
/// together with those after it, which may depend on it; when that doesn't help, the whole tree has failed.
class Supervisor
{
public:
    Supervisor(const RestartPolicy &policy, const Clock &clock, EventLog &events);

    void add(std::unique_ptr<Child> child);
    /// Starts all; on an error those started are stopped again.
    Result<void> start();
    /// Looks after the children; called about every 100 ms.
    /// @return an error when the tree has failed and must be stopped
    Result<void> check();
    void stop();

private:
    struct Supervised
    {
        std::unique_ptr<Child> child;
        bool running = false;
        std::vector<TimePoint> restarts;
    };

    void stopFrom(std::size_t first);
    Result<void> startFrom(std::size_t first);
    Result<void> planRestart(std::size_t failed, const std::string &why);

    RestartPolicy m_policy;
    const Clock &m_clock;
    EventLog &m_events;
    std::vector<Supervised> m_children;
    std::optional<std::size_t> m_restartFrom;
    TimePoint m_restartAt {};
};

} // namespace monsoonward
