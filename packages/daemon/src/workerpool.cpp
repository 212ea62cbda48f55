#include "workerpool.h"

namespace monsoonward
{

WorkerPool::WorkerPool(std::size_t maxThreads)
    : m_maxThreads(maxThreads)
{
}

WorkerPool::~WorkerPool()
{
    stop();
}

void WorkerPool::post(Task task)
{
    const std::lock_guard lock(m_mutex);
    m_tasks.push_back(std::move(task));
    if (m_idleThreads < m_tasks.size() && m_threads.size() < m_maxThreads) {
        m_threads.emplace_back([this] { runTasks(); });
    }
    m_taskAdded.notify_one();
}

void WorkerPool::stop()
{
    std::vector<std::thread> threads;
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
        threads.swap(m_threads);
    }
    m_taskAdded.notify_all();
    for (auto &it : threads) {
        it.join();
    }
}

void WorkerPool::runTasks()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        ++m_idleThreads;
        m_taskAdded.wait(lock, [this] { return m_stopping || !m_tasks.empty(); });
        --m_idleThreads;
        if (m_tasks.empty()) {
            return;
        }
        const auto task = std::move(m_tasks.front());
        m_tasks.pop_front();
        lock.unlock();
        task();
        lock.lock();
    }
}

} // namespace monsoonward
