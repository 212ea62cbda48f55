#include "eventqueue.h"

namespace monsoonward
{

TimePoint EventQueue::now() const
{
    return m_clock.now();
}

void EventQueue::after(Duration delay, Function function)
{
    m_events.emplace(EventKey {now() + delay, ++m_lastNumber}, std::move(function));
}

void EventQueue::runUntil(TimePoint end)
{
    while (!m_events.empty() && m_events.begin()->first.at <= end) {
        const auto event = m_events.begin();
        const auto function = std::move(event->second);
        m_clock.advanceTo(event->first.at);
        m_events.erase(event);
        function();
    }
    m_clock.advanceTo(end);
}

} // namespace monsoonward
