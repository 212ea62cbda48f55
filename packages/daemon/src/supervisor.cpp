#include "supervisor.h"

#include <algorithm>

namespace monsoonward
{

std::optional<std::string> Child::failure()
{
    return std::nullopt;
}

Supervisor::Supervisor(const RestartPolicy &policy, const Clock &clock, EventLog &events)
    : m_policy(policy)
    , m_clock(clock)
    , m_events(events)
{
}

void Supervisor::add(std::unique_ptr<Child> child)
{
    m_children.push_back({std::move(child), false, {}});
}

Result<void> Supervisor::start()
{
    auto started = startFrom(0);
    if (!started) {
        stopFrom(0);
    }
    return started;
}

Result<void> Supervisor::check()
{
    if (m_restartFrom) {
        if (m_clock.now() < m_restartAt) {
            return boost::outcome_v2::success();
        }
        const auto first = *m_restartFrom;
        m_restartFrom.reset();
        const auto started = startFrom(first);
        return started ? started : scheduleRestart(first, started.error().message);
    }
    for (std::size_t n = 0; n < m_children.size(); ++n) {
        const auto why = m_children[n].child->failure();
        if (why) {
            return scheduleRestart(n, *why);
        }
    }
    return boost::outcome_v2::success();
}

void Supervisor::stop()
{
    stopFrom(0);
}

void Supervisor::stopFrom(std::size_t first)
{
    for (std::size_t n = m_children.size(); n > first; --n) {
        auto &it = m_children[n - 1];
        if (it.running) {
            it.child->stop();
            it.running = false;
        }
    }
}

Result<void> Supervisor::startFrom(std::size_t first)
{
    for (std::size_t n = first; n < m_children.size(); ++n) {
        auto &it = m_children[n];
        const auto started = it.child->start();
        if (!started) {
            return Error {started.error().code, it.child->name() + ": " + started.error().message};
        }
        it.running = true;
    }
    return boost::outcome_v2::success();
}

Result<void> Supervisor::scheduleRestart(std::size_t failed, const std::string &why)
{
    auto &it = m_children[failed];
    const auto now = m_clock.now();
    auto &restarts = it.restarts;
    restarts.erase(
        std::remove_if(restarts.begin(), restarts.end(), [&](TimePoint at) { return now - at >= m_policy.window; }),
        restarts.end());
    stopFrom(failed);
    if (restarts.size() >= m_policy.maxRestarts) {
        m_events.record(Event::ChildFailed, Severity::Error, it.child->name() + ": " + why);
        return Error {ErrorCode::Unavailable, it.child->name() + " failed too often: " + why};
    }
    m_events.record(Event::ChildRestarted, Severity::Warning, it.child->name() + ": " + why);
    m_restartAt = now + m_policy.initialBackoff * (1U << restarts.size());
    m_restartFrom = failed;
    restarts.push_back(now);
    return boost::outcome_v2::success();
}

} // namespace monsoonward
