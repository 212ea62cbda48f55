#include "monsoonward/dispatch/eventsplitter.h"

#include <charconv>

namespace monsoonward
{

namespace
{

constexpr std::string_view idField = "id:";
constexpr std::string_view dataField = "data";

/// @return whether the event has a data field; others, such as comments, may be repeated
bool hasData(std::string_view event)
{
    return event.substr(0, dataField.size()) == dataField || event.find("\ndata") != std::string_view::npos;
}

/// @return the value of the event's id field, if it is a number
std::optional<std::uint64_t> idOf(std::string_view event)
{
    while (!event.empty()) {
        const auto end = event.find('\n');
        auto line = event.substr(0, end);
        event = end == std::string_view::npos ? std::string_view() : event.substr(end + 1);
        if (line.substr(0, idField.size()) != idField) {
            continue;
        }
        line.remove_prefix(idField.size());
        line.remove_prefix(line.substr(0, 1) == " " ? 1 : 0);
        std::uint64_t id = 0;
        const auto [rest, error] = std::from_chars(line.data(), line.data() + line.size(), id);
        return error == std::errc() ? std::optional(id) : std::nullopt;
    }
    return std::nullopt;
}

/// @param searchFrom offset at which the search for a blank line starts
/// @return end of the first event including its blank line, or npos if it is incomplete
std::size_t eventEnd(std::string_view bytes, std::size_t searchFrom)
{
    const auto lfBlankLine = bytes.find("\n\n", searchFrom);
    const auto crlfBlankLine = bytes.find("\n\r\n", searchFrom);
    if (lfBlankLine == std::string_view::npos && crlfBlankLine == std::string_view::npos) {
        return std::string_view::npos;
    }
    return lfBlankLine < crlfBlankLine ? lfBlankLine + 2 : crlfBlankLine + 3;
}

} // namespace

std::string EventSplitter::push(std::string_view bytes)
{
    constexpr std::size_t separatorOverlap = 2; // a blank line may begin in the bytes added before
    auto searchFrom = m_buffer.size() > separatorOverlap ? m_buffer.size() - separatorOverlap : 0;
    m_buffer.append(bytes);
    std::string complete;
    std::size_t eventStart = 0;
    const std::string_view buffered = m_buffer;
    for (auto end = eventEnd(buffered, searchFrom); end != std::string_view::npos && !m_isInvalid;
         end = eventEnd(buffered, eventStart)) {
        const auto event = buffered.substr(eventStart, end - eventStart);
        if (accept(event)) {
            complete.append(event);
        } else {
            m_droppedBytes += event.size();
        }
        eventStart = end;
    }
    m_buffer.erase(0, eventStart);
    m_returnedBytes += complete.size();
    m_isInvalid = m_isInvalid || m_buffer.size() > maxEventBytes || m_droppedBytes > m_returnedBytes + maxEventBytes;
    return complete;
}

bool EventSplitter::accept(std::string_view event)
{
    const auto id = idOf(event);
    if (id && m_lastId) {
        if (m_isContinuing && *id <= *m_lastId) {
            return false;
        }
        if (m_isContinuing && *id != *m_lastId + 1) {
            m_isInvalid = true;
            return false;
        }
    }
    if (id) {
        m_lastId = id;
        m_isContinuing = false;
    }
    m_hasUnnumberedData = m_hasUnnumberedData || (!m_lastId && hasData(event));
    ++m_eventCount;
    return true;
}

void EventSplitter::restart()
{
    m_buffer.clear();
    m_droppedBytes = 0;
    m_isContinuing = true;
}

std::optional<std::uint64_t> EventSplitter::lastId() const
{
    return m_lastId;
}

bool EventSplitter::canContinue() const
{
    return m_lastId || !m_hasUnnumberedData;
}

bool EventSplitter::isInsideEvent() const
{
    return m_buffer.find_first_not_of("\r\n") != std::string::npos;
}

bool EventSplitter::isInvalid() const
{
    return m_isInvalid;
}

std::uint64_t EventSplitter::eventCount() const
{
    return m_eventCount;
}

} // namespace monsoonward
