#pragma once

#include <monsoonward/stores/stores.h>

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace monsoonward
{

/// @brief The one thread that owns control state: runs tasks in order and a tick at least every 50 ms.
class ControlLoop : public Executor
{
public:
    using Task = std::function<void()>;

    ControlLoop();
    ~ControlLoop() override;
    ControlLoop(const ControlLoop &) = delete;
    ControlLoop &operator=(const ControlLoop &) = delete;

    /// @param tick runs timers
    /// @param failed told of an exception that escaped a task or the tick; the loop goes on
    void start(Task tick, std::function<void(const std::string &)> failed);
    /// Runs the tasks that wait, then ends the thread.
    void stop();
    /// Adds a task. Any thread; waits while too many tasks wait, unless called on the loop's own thread.
    void post(Task task) override;
    /// Runs @p task on the thread and waits for its end. Not on the loop's own thread.
    void call(const Task &task);
    /// @return tasks that wait
    std::size_t waiting() const;

private:
    void run();
    void guarded(const Task &task);

    Task m_tick;
    std::function<void(const std::string &)> m_failed;
    mutable std::mutex m_mutex;
    std::condition_variable m_added;
    std::condition_variable m_taken;
    std::deque<Task> m_tasks;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace monsoonward
