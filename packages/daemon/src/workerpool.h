#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace monsoonward
{

/// @brief Threads for blocking work; grows when no thread is idle, up to a bound.
class WorkerPool
{
public:
    using Task = std::function<void()>;

    explicit WorkerPool(std::size_t maxThreads);
    ~WorkerPool();
    WorkerPool(const WorkerPool &) = delete;
    WorkerPool &operator=(const WorkerPool &) = delete;

    /// Runs @p task on a thread; it waits while all threads are busy.
    void run(Task task);
    /// Ends the threads after the tasks that were given.
    void stop();

private:
    void work();

    std::size_t m_maxThreads;
    std::mutex m_mutex;
    std::condition_variable m_added;
    std::deque<Task> m_tasks;
    std::vector<std::thread> m_threads;
    std::size_t m_idle = 0;
    bool m_stopping = false;
};

} // namespace monsoonward
