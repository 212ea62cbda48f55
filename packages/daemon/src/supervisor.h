#pragma once

#include <monsoonward/values/values.h>

#include <memory>
#include <string>
#include <vector>

namespace monsoonward
{

/// @brief A component of the daemon that the supervisor starts, monitors and stops.
class Child
{
public:
    virtual ~Child() = default;
    virtual std::string name() const = 0;
    /// Starts the component, either for the first time or again after stop().
    virtual Result<void> start() = 0;
    virtual void stop() = 0;
    /// @return why the component has failed, or nothing while it works
    virtual std::optional<std::string> failure();
};

/// @brief How often and after which delay a failed child is restarted.
struct RestartPolicy
{
    unsigned maxRestarts = 5; ///< per child within the window; one more stops the daemon
    Duration window = std::chrono::minutes(1);
    Duration initialBackoff = std::chrono::milliseconds(100); ///< doubles with each restart within the window
    MONSOONWARD_FIELDS(maxRestarts, window, initialBackoff)
};

/// @brief Starts children in order and stops them in reverse order.
///
/// A failed child is restarted with exponential backoff, together with all children after it, since they may depend on
/// it. When a child exceeds RestartPolicy::maxRestarts, the supervisor gives up.
class Supervisor
{
public:
    Supervisor(const RestartPolicy &policy, const Clock &clock, EventLog &events);

    void add(std::unique_ptr<Child> child);
    /// Starts all children. If one fails to start, those already started are stopped.
    Result<void> start();
    /// Checks the children for failures and restarts them when due; called about every 100 ms.
    /// @return an error if a child failed too often; the caller must then call stop()
    Result<void> check();
    void stop();

private:
    struct SupervisedChild
    {
        std::unique_ptr<Child> child;
        bool running = false;
        std::vector<TimePoint> restarts;
    };

    void stopFrom(std::size_t first);
    Result<void> startFrom(std::size_t first);
    Result<void> scheduleRestart(std::size_t failed, const std::string &why);

    RestartPolicy m_policy;
    const Clock &m_clock;
    EventLog &m_events;
    std::vector<SupervisedChild> m_children;
    std::optional<std::size_t> m_restartFrom;
    TimePoint m_restartAt {};
};

} // namespace monsoonward
