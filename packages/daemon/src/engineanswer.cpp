#include "engineanswer.h"

#include "boundedjson.h"

namespace monsoonward
{

namespace
{

constexpr std::size_t maxLineBytes = std::size_t {1024} * 1024; // maximum length of a line of an event stream
constexpr std::size_t maxJsonBytes = std::size_t {16} * 1024 * 1024; // maximum size of a JSON answer
constexpr unsigned firstServerError = 500;
constexpr unsigned firstClientError = 400;
const std::string dataField = "data:";

Error invalidAnswer(const std::string &what)
{
    return {ErrorCode::Invalid, "engine answer: " + what};
}

bool startsWith(std::string_view text, std::string_view start)
{
    return text.substr(0, start.size()) == start;
}

std::uint32_t unsignedMember(const nlohmann::json &object, const char *key)
{
    const auto it = object.find(key);
    return it != object.end() && it->is_number_unsigned() ? it->get<std::uint32_t>() : 0;
}

const nlohmann::json *findMember(const nlohmann::json &object, const char *key)
{
    const auto it = object.is_object() ? object.find(key) : object.end();
    return object.is_object() && it != object.end() ? &*it : nullptr;
}

bool hasFinishReason(const nlohmann::json &choices)
{
    for (const auto &it : choices) {
        const auto *reason = findMember(it, "finish_reason");
        if (reason != nullptr && reason->is_string()) {
            return true;
        }
    }
    return false;
}

bool hasText(const nlohmann::json &choice)
{
    const auto *delta = findMember(choice, "delta");
    const auto *text = delta != nullptr ? findMember(*delta, "content") : findMember(choice, "text");
    return text != nullptr && text->is_string() && !text->get_ref<const std::string &>().empty();
}

} // namespace

EngineAnswerParser::EngineAnswerParser(ServiceKind kind, std::string requestId)
    : m_kind(kind)
    , m_requestId(std::move(requestId))
{
}

Result<void> EngineAnswerParser::begin(unsigned status, const HeaderList &headers)
{
    const auto *id = findHeader(headers, "X-Request-Id");
    if (id != nullptr && *id != m_requestId) {
        return invalidAnswer("X-Request-Id \"" + *id + "\" is another request's, expected \"" + m_requestId + "\"");
    }
    if (m_kind == ServiceKind::Plain) {
        return boost::outcome_v2::success();
    }
    if (status >= firstServerError) {
        return invalidAnswer("status " + std::to_string(status));
    }
    const auto *type = findHeader(headers, "Content-Type");
    if (type != nullptr && startsWith(*type, "text/event-stream")) {
        m_format = Format::EventStream;
    } else if (status < firstClientError) {
        m_format = Format::Json;
    }
    return boost::outcome_v2::success();
}

Result<std::uint32_t> EngineAnswerParser::append(std::string_view bytes)
{
    if (m_format == Format::Opaque) {
        return std::uint32_t {0};
    }
    const auto bound = m_format == Format::Json ? maxJsonBytes : maxLineBytes + bytes.size();
    if (m_buffer.size() + bytes.size() > bound) {
        return invalidAnswer("longer than " + std::to_string(bound) + " bytes without an end");
    }
    m_buffer.append(bytes);
    if (m_format == Format::Json) {
        return std::uint32_t {0};
    }
    return readEvents();
}

Result<void> EngineAnswerParser::end()
{
    if (m_format == Format::EventStream) {
        const bool whole = m_doneSeen && m_finishReasonSeen && m_buffer.empty();
        return whole ? Result<void>(boost::outcome_v2::success()) : invalidAnswer("the event stream ended too early");
    }
    if (m_format == Format::Json) {
        const auto answer = parseBoundedJson(m_buffer);
        if (!answer) {
            return invalidAnswer(answer.error().message);
        }
        const auto *choices = findMember(answer.value(), "choices");
        if (choices == nullptr || !choices->is_array() || choices->empty()) {
            return invalidAnswer("no choices");
        }
        readUsage(answer.value());
    }
    return boost::outcome_v2::success();
}

const TokenUsage &EngineAnswerParser::usage() const
{
    return m_usage;
}

Result<std::uint32_t> EngineAnswerParser::readEvents()
{
    std::uint32_t tokens = 0;
    std::size_t start = 0;
    for (auto end = m_buffer.find('\n'); end != std::string::npos; end = m_buffer.find('\n', start)) {
        const auto n = readLine(std::string_view(m_buffer).substr(start, end - start));
        if (!n) {
            return n.error();
        }
        tokens += n.value();
        start = end + 1;
    }
    m_buffer.erase(0, start);
    return tokens;
}

Result<std::uint32_t> EngineAnswerParser::readLine(std::string_view line)
{
    if (!line.empty() && line.back() == '\r') {
        line.remove_suffix(1);
    }
    if (line.empty() || line[0] == ':') {
        return std::uint32_t {0};
    }
    if (m_doneSeen) {
        return invalidAnswer("data after [DONE]");
    }
    if (!startsWith(line, dataField)) {
        const bool otherField = startsWith(line, "event:") || startsWith(line, "id:") || startsWith(line, "retry:");
        return otherField ? Result<std::uint32_t>(std::uint32_t {0}) : invalidAnswer("a line that isn't an event's");
    }
    line.remove_prefix(dataField.size());
    if (!line.empty() && line[0] == ' ') {
        line.remove_prefix(1);
    }
    if (line == "[DONE]") {
        m_doneSeen = true;
        return std::uint32_t {0};
    }
    return readEvent(line);
}

Result<std::uint32_t> EngineAnswerParser::readEvent(std::string_view data)
{
    const auto event = parseBoundedJson(data);
    if (!event) {
        return invalidAnswer("an event: " + event.error().message);
    }
    if (findMember(event.value(), "error") != nullptr) {
        return invalidAnswer("an error event");
    }
    readUsage(event.value());
    const auto *choices = findMember(event.value(), "choices");
    if (choices == nullptr || !choices->is_array()) {
        return std::uint32_t {0};
    }
    m_finishReasonSeen = m_finishReasonSeen || hasFinishReason(*choices);
    std::uint32_t tokens = 0;
    for (const auto &it : *choices) {
        tokens += hasText(it) ? 1 : 0;
    }
    return tokens;
}

void EngineAnswerParser::readUsage(const nlohmann::json &answer)
{
    const auto *usage = findMember(answer, "usage");
    if (usage == nullptr || !usage->is_object()) {
        return;
    }
    m_usage.promptTokens = unsignedMember(*usage, "prompt_tokens");
    m_usage.outputTokens = unsignedMember(*usage, "completion_tokens");
    const auto *details = findMember(*usage, "prompt_tokens_details");
    if (details != nullptr && details->is_object()) {
        m_usage.cachedTokens = unsignedMember(*details, "cached_tokens");
    }
}

} // namespace monsoonward
