#pragma once

#include <monsoonward/values/values.h>

#include <functional>
#include <queue>
#include <vector>

namespace monsoonward::bench
{

/// @brief Event queue of a discrete-event simulation. Runs actions in order of time on a virtual clock; actions due at
/// the same time run in the order in which they were scheduled.
class EventQueue
{
public:
    const Clock &clock() const
    {
        return m_clock;
    }
    TimePoint now() const
    {
        return m_clock.now();
    }
    /// Schedules @p action at @p when, or now if that has passed.
    void at(TimePoint when, std::function<void()> action)
    {
        m_events.push({when < now() ? now() : when, ++m_lastNumber, std::move(action)});
    }
    void after(Duration delay, std::function<void()> action)
    {
        at(now() + delay, std::move(action));
    }
    /// Runs all actions due up to and including @p end, then sets the clock to @p end.
    void runUntil(TimePoint end)
    {
        while (!m_events.empty() && m_events.top().when <= end) {
            auto action = std::move(const_cast<Event &>(m_events.top()).action);
            m_clock.advanceTo(m_events.top().when);
            m_events.pop();
            action();
        }
        m_clock.advanceTo(end);
    }

private:
    struct Event
    {
        TimePoint when;
        std::uint64_t number;
        std::function<void()> action;
        /// Reversed, because std::priority_queue returns the largest element first.
        bool operator<(const Event &other) const
        {
            return when != other.when ? when > other.when : number > other.number;
        }
    };

    VirtualClock m_clock;
    std::uint64_t m_lastNumber = 0;
    std::priority_queue<Event> m_events;
};

} // namespace monsoonward::bench
