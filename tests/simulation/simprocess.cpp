#include "simprocess.h"

namespace monsoonward
{

HostClock::HostClock(const EventQueue &queue, Duration offset)
    : m_queue(queue)
    , m_offset(offset)
{
}

TimePoint HostClock::now() const
{
    return m_queue.now() + m_offset;
}

SimProcess::SimProcess(EventQueue &queue, const Peer &own, HostRole role, Duration clockOffset)
    : m_queue(queue)
    , m_clock(queue, clockOffset)
    , m_own(own)
    , m_role(role)
{
}

const Peer &SimProcess::own() const
{
    return m_own;
}

HostRole SimProcess::role() const
{
    return m_role;
}

bool SimProcess::alive() const
{
    return m_alive;
}

bool SimProcess::paused() const
{
    return m_paused;
}

bool SimProcess::stopping() const
{
    return m_stopping;
}

void SimProcess::post(Duration delay, EventQueue::Function function)
{
    m_queue.after(delay, [weak = weak_from_this(), function = std::move(function)] {
        if (const auto self = weak.lock()) {
            self->run(function);
        }
    });
}

void SimProcess::pause()
{
    m_paused = true;
}

void SimProcess::resume()
{
    m_paused = false;
    const auto inbox = std::move(m_inbox);
    m_inbox.clear();
    for (const auto &it : inbox) {
        run(it);
    }
}

void SimProcess::kill()
{
    m_alive = false;
    m_inbox.clear();
}

void SimProcess::stop()
{
    post({}, [this] {
        m_stopping = true;
        beginShutdown();
    });
}

const Clock &SimProcess::clock() const
{
    return m_clock;
}

void SimProcess::run(const EventQueue::Function &function)
{
    if (!m_alive) {
        return;
    }
    if (m_paused) {
        m_inbox.push_back(function);
        return;
    }
    function();
}

void SimProcess::configureIfNewer(const ConfigurationPtr &configuration)
{
    if (configuration->revision > m_revision) {
        m_revision = configuration->revision;
        configure(configuration);
    }
}

} // namespace monsoonward
