#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace monsoonward
{

/// @brief Splits a text/event-stream into complete events. A forwarded stream that is aborted thus never ends inside an
/// event, and a stream continued by another engine repeats no event that has a numeric ID.
class EventSplitter
{
public:
    /// An incomplete event that is larger than this makes the stream invalid.
    static constexpr std::size_t maxEventBytes = std::size_t {1024} * 1024;

    /// Adds bytes of the stream.
    /// @return the events that are complete now and weren't returned before the last restart
    std::string push(std::string_view bytes);
    /// Drops an incomplete event; the next bytes come from another engine that continues the stream.
    void restart();
    /// @return the ID of the last returned event that has one
    std::optional<std::uint64_t> lastId() const;
    /// @return whether another engine can continue the stream without a repeat: data was returned only after an ID
    bool canContinue() const;
    /// @return whether the bytes so far end with an incomplete event; blank lines alone are none
    bool isInsideEvent() const;
    /// @return whether an event was too large, the first new ID after a restart doesn't follow the last one, or much
    /// more was repeated since then than had been returned
    bool isInvalid() const;
    /// @return number of returned events
    std::uint64_t eventCount() const;

private:
    bool accept(std::string_view event);

    std::string m_buffer;
    std::optional<std::uint64_t> m_lastId;
    std::uint64_t m_eventCount = 0;
    std::uint64_t m_returnedBytes = 0;
    std::uint64_t m_droppedBytes = 0; // since the last restart
    bool m_hasUnnumberedData = false; // data was returned before the first ID
    bool m_isContinuing = false;
    bool m_isInvalid = false;
};

} // namespace monsoonward
