#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace monsoonward
{

/// @brief Splits a text/event-stream into whole events, so that an answer that breaks off never ends inside one, and a
/// continued stream repeats none.
class EventSplitter
{
public:
    /// An event that is larger than this makes the stream invalid.
    static constexpr std::size_t maxEventBytes = std::size_t {1024} * 1024;

    /// Adds bytes of the stream.
    /// @return the bytes of the events that are whole now, without those up to the last event passed on before
    std::string push(std::string_view bytes);
    /// The next bytes come from another engine that continues the stream; what was left of an event is dropped.
    void restart();
    /// @return the ID of the last whole event that was passed on
    std::optional<std::uint64_t> lastId() const;
    /// @return whether the bytes so far end inside an event
    bool isInsideEvent() const;
    /// @return whether an event came that can't follow the last one: it was too large, or an ID is missing in between
    bool isInvalid() const;
    /// @return events passed on
    std::uint64_t eventCount() const;

private:
    bool accept(std::string_view event);

    std::string m_partial;
    std::optional<std::uint64_t> m_lastId;
    std::uint64_t m_events = 0;
    bool m_restarted = false;
    bool m_broken = false;
};

} // namespace monsoonward
