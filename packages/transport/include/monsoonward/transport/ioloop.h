#pragma once

#include <monsoonward/values/values.h>

#include <cxxtools/selector.h>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace monsoonward
{

/// @brief The thread that owns sockets. Everything but start(), stop() and post() is called on it.
class IoLoop
{
public:
    using Task = std::function<void()>;

    IoLoop();
    ~IoLoop();
    IoLoop(const IoLoop &) = delete;
    IoLoop &operator=(const IoLoop &) = delete;

    /// @param tick called about every 50 ms
    void start(Task tick);
    /// Runs what was posted before, then ends the thread.
    void stop();
    /// Runs @p task on the thread, in the order of the calls. Any thread.
    void post(Task task);

    cxxtools::SelectorBase &selector();
    /// Runs @p task when the sockets that are ready now have been served.
    void atEndOfTurn(Task task);
    /// Destroys @p object when no callback of this turn can use it any more.
    void releaseLater(std::shared_ptr<void> object);

private:
    void run();
    void runPosted();
    void endTurn();

    cxxtools::Selector m_selector;
    Task m_tick;
    std::atomic<bool> m_stopping {false};
    std::mutex m_mutex;
    std::vector<Task> m_posted;
    std::vector<Task> m_endOfTurn;
    std::vector<std::shared_ptr<void>> m_retired;
    std::thread m_thread;
};

} // namespace monsoonward
