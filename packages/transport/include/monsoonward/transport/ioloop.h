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

/// @brief Event loop with its own thread, on which sockets are served. All methods except start(), stop() and post()
/// must be called on that thread.
class IoLoop
{
public:
    using Task = std::function<void()>;

    IoLoop();
    ~IoLoop();
    IoLoop(const IoLoop &) = delete;
    IoLoop &operator=(const IoLoop &) = delete;

    /// Starts the thread. @param tick called about every 50 ms
    void start(Task tick);
    /// Runs the tasks posted so far, then ends the thread.
    void stop();
    /// Runs @p task on the loop's thread; tasks run in the order of posting. May be called from any thread.
    void post(Task task);

    cxxtools::SelectorBase &selector();
    /// Runs @p task at the end of this iteration, after the sockets that are ready now have been served.
    void runAtEndOfIteration(Task task);
    /// Releases @p object at the end of this iteration, when no callback on the stack can still use it.
    void releaseLater(std::shared_ptr<void> object);

private:
    void run();
    void runPosted();
    void endIteration();

    cxxtools::Selector m_selector;
    Task m_tick;
    std::atomic<bool> m_stopping {false};
    std::mutex m_mutex;
    std::vector<Task> m_posted;
    std::vector<Task> m_endOfIteration;
    std::vector<std::shared_ptr<void>> m_released;
    std::thread m_thread;
};

} // namespace monsoonward
