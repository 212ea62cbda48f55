#include "monsoonward/transport/ioloop.h"

namespace monsoonward
{

namespace
{
constexpr auto tickInterval = std::chrono::milliseconds(50);
} // namespace

IoLoop::IoLoop() = default;

IoLoop::~IoLoop()
{
    stop();
}

void IoLoop::start(Task tick)
{
    m_tick = std::move(tick);
    m_stopping = false;
    m_thread = std::thread([this] { run(); });
}

void IoLoop::stop()
{
    if (!m_thread.joinable()) {
        return;
    }
    post([this] { m_stopping = true; });
    m_thread.join();
}

void IoLoop::post(Task task)
{
    bool wasEmpty = false;
    {
        const std::lock_guard lock(m_mutex);
        wasEmpty = m_posted.empty();
        m_posted.push_back(std::move(task));
    }
    if (wasEmpty) {
        m_selector.wake();
    }
}

cxxtools::SelectorBase &IoLoop::selector()
{
    return m_selector;
}

void IoLoop::runAtEndOfIteration(Task task)
{
    m_endOfIteration.push_back(std::move(task));
}

void IoLoop::releaseLater(std::shared_ptr<void> object)
{
    m_released.push_back(std::move(object));
}

void IoLoop::run()
{
    auto nextTick = std::chrono::steady_clock::now();
    while (!m_stopping) {
        const auto now = std::chrono::steady_clock::now();
        if (now >= nextTick) {
            m_tick();
            endIteration();
            nextTick = now + tickInterval;
        }
        const std::chrono::duration<double, std::milli> left = nextTick - now;
        m_selector.wait(cxxtools::Milliseconds(left.count()));
        runPosted();
        endIteration();
    }
    runPosted();
    endIteration();
}

void IoLoop::runPosted()
{
    std::vector<Task> tasks;
    {
        const std::lock_guard lock(m_mutex);
        tasks.swap(m_posted);
    }
    for (const auto &it : tasks) {
        it();
    }
}

void IoLoop::endIteration()
{
    while (!m_endOfIteration.empty()) {
        std::vector<Task> tasks;
        tasks.swap(m_endOfIteration);
        for (const auto &it : tasks) {
            it();
        }
    }
    m_released.clear();
}

} // namespace monsoonward
