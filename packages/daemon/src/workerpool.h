#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace monsoonward
{

/// @brief A thread pool for blocking tasks. Starts a thread when none is idle, up to a maximum.
class WorkerPool
{
public:
    using Task = std::function<void()>;

    explicit WorkerPool(std::size_t maxThreads);
    ~WorkerPool();
    WorkerPool(const WorkerPool &) = delete;
    WorkerPool &operator=(const WorkerPool &) = delete;

    /// Queues @p task; it runs as soon as a thread is free.
    void post(Task task);
    /// Waits until all queued tasks have run, and ends the threads.
    void stop();

private:
    void runTasks();

    std::size_t m_maxThreads;
    std::mutex m_mutex;
    std::condition_variable m_taskAdded;
    std::deque<Task> m_tasks;
    std::vector<std::thread> m_threads;
    std::size_t m_idleThreads = 0;
    bool m_stopping = false;
};

} // namespace monsoonward
