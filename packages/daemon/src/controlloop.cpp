#include "controlloop.h"

#include <future>

namespace monsoonward
{

namespace
{
constexpr auto tickInterval = std::chrono::milliseconds(50);
constexpr std::size_t maxPendingTasks = 100000;
} // namespace

ControlLoop::ControlLoop() = default;

ControlLoop::~ControlLoop()
{
    stop();
}

void ControlLoop::start(Task tick, std::function<void(const std::string &)> onError)
{
    m_tick = std::move(tick);
    m_onError = std::move(onError);
    m_stopping = false;
    m_thread = std::thread([this] { run(); });
}

void ControlLoop::stop()
{
    if (!m_thread.joinable()) {
        return;
    }
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_taskAdded.notify_all();
    m_queueDrained.notify_all();
    m_thread.join();
}

void ControlLoop::post(Task task)
{
    std::unique_lock lock(m_mutex);
    if (std::this_thread::get_id() != m_thread.get_id()) {
        m_queueDrained.wait(lock, [this] { return m_tasks.size() < maxPendingTasks || m_stopping; });
    }
    m_tasks.push_back(std::move(task));
    lock.unlock();
    m_taskAdded.notify_one();
}

void ControlLoop::call(const Task &task)
{
    std::promise<void> done;
    post([&] {
        task();
        done.set_value();
    });
    done.get_future().wait();
}

std::size_t ControlLoop::pendingTasks() const
{
    const std::lock_guard lock(m_mutex);
    return m_tasks.size();
}

void ControlLoop::run()
{
    auto nextTick = std::chrono::steady_clock::now();
    std::unique_lock lock(m_mutex);
    while (!m_stopping || !m_tasks.empty()) {
        m_taskAdded.wait_until(lock, nextTick, [this] { return !m_tasks.empty() || m_stopping; });
        std::deque<Task> tasks;
        tasks.swap(m_tasks);
        lock.unlock();
        m_queueDrained.notify_all();
        for (const auto &it : tasks) {
            runGuarded(it);
        }
        const auto now = std::chrono::steady_clock::now();
        if (now >= nextTick) {
            runGuarded(m_tick);
            nextTick = now + tickInterval;
        }
        lock.lock();
    }
}

void ControlLoop::runGuarded(const Task &task)
{
    try {
        task();
    } catch (const std::exception &error) {
        m_onError(error.what());
    }
}

} // namespace monsoonward
