#pragma once

#include <monsoonward/stores/stores.h>

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace monsoonward
{

/// @brief The thread that owns the control state. Runs tasks in order, and a tick function about every 50 ms.
class ControlLoop : public Executor
{
public:
    using Task = std::function<void()>;

    ControlLoop();
    ~ControlLoop() override;
    ControlLoop(const ControlLoop &) = delete;
    ControlLoop &operator=(const ControlLoop &) = delete;

    /// @param tick called periodically, for timers
    /// @param onError called with the message of an exception thrown by a task or the tick; the loop continues
    void start(Task tick, std::function<void(const std::string &)> onError);
    /// Runs the queued tasks, then ends the thread.
    void stop();
    /// Queues a task. Thread-safe. Blocks while the queue is full, unless called on the loop's own thread.
    void post(Task task) override;
    /// Runs @p task on the loop's thread and waits until it has finished. Must not be called on the loop's own thread.
    void call(const Task &task);
    /// @return the number of queued tasks
    std::size_t pendingTasks() const;

private:
    void run();
    void runGuarded(const Task &task);

    Task m_tick;
    std::function<void(const std::string &)> m_onError;
    mutable std::mutex m_mutex;
    std::condition_variable m_taskAdded;
    std::condition_variable m_queueDrained;
    std::deque<Task> m_tasks;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace monsoonward
