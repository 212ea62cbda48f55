#pragma once

#include <monsoonward/values/values.h>

#include <functional>
#include <map>

namespace monsoonward
{

/// @brief Runs functions in virtual time; those due at the same time run in the order in which they were added.
class EventQueue
{
public:
    using Function = std::function<void()>;

    TimePoint now() const;
    void after(Duration delay, Function function);
    /// Runs all that is due until @p end.
    void runUntil(TimePoint end);

private:
    struct Due
    {
        TimePoint at {};
        std::uint64_t number = 0;
        MONSOONWARD_FIELDS(at, number)
    };

    VirtualClock m_clock;
    std::map<Due, Function> m_events;
    std::uint64_t m_number = 0;
};

} // namespace monsoonward
