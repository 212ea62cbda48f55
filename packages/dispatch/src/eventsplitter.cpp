#include "monsoonward/dispatch/eventsplitter.h"

#include <charconv>

namespace monsoonward
{

namespace
{

constexpr std::string_view idField = "id:";

/// @return the value of the event's id field
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

/// @return size of the first event with its blank line, or npos
std::size_t firstEventSize(std::string_view bytes, std::size_t from)
{
    const auto newline = bytes.find("\n\n", from);
    const auto carriage = bytes.find("\n\r\n", from);
    if (newline == std::string_view::npos && carriage == std::string_view::npos) {
        return std::string_view::npos;
    }
    return newline < carriage ? newline + 2 : carriage + 3;
}

} // namespace

std::string EventSplitter::push(std::string_view bytes)
{
    constexpr std::size_t separatorOverlap = 2; // a separator may begin in the bytes before
    auto from = m_partial.size() > separatorOverlap ? m_partial.size() - separatorOverlap : 0;
    m_partial.append(bytes);
    std::string whole;
    std::size_t begin = 0;
    const std::string_view all = m_partial;
    for (auto end = firstEventSize(all, from); end != std::string_view::npos && !m_broken;
         end = firstEventSize(all, begin)) {
        const auto event = all.substr(begin, end - begin);
        if (accept(event)) {
            whole.append(event);
        }
        begin = end;
    }
    m_partial.erase(0, begin);
    m_broken = m_broken || m_partial.size() > maxEventBytes;
    return whole;
}

bool EventSplitter::accept(std::string_view event)
{
    const auto id = idOf(event);
    if (id && m_lastId) {
        if (m_restarted && *id <= *m_lastId) {
            return false;
        }
        if (m_restarted && *id != *m_lastId + 1) {
            m_broken = true;
            return false;
        }
    }
    if (id) {
        m_lastId = id;
        m_restarted = false;
    }
    ++m_events;
    return true;
}

void EventSplitter::restart()
{
    m_partial.clear();
    m_restarted = true;
}

std::optional<std::uint64_t> EventSplitter::lastId() const
{
    return m_lastId;
}

bool EventSplitter::isInsideEvent() const
{
    return !m_partial.empty();
}

bool EventSplitter::isInvalid() const
{
    return m_broken;
}

std::uint64_t EventSplitter::eventCount() const
{
    return m_events;
}

} // namespace monsoonward
