#pragma once

#include <monsoonward/values/values.h>

#include <functional>
#include <map>

namespace monsoonward
{

/// @brief Runs scheduled functions in virtual time; those due at the same time run in the order they were added.
class EventQueue
{
public:
    using Function = std::function<void()>;

    TimePoint now() const;
    void after(Duration delay, Function function);
    /// Runs all functions that are due up to and including @p end, then advances the clock to @p end.
    void runUntil(TimePoint end);

private:
    /// Orders events by due time, then by the order in which they were added.
    struct EventKey
    {
        TimePoint at {};
        std::uint64_t number = 0;
        MONSOONWARD_FIELDS(at, number)
    };

    VirtualClock m_clock;
    std::map<EventKey, Function> m_events;
    std::uint64_t m_lastNumber = 0;
};

} // namespace monsoonward
