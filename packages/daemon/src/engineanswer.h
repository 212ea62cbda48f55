#pragma once

#include "callerrequest.h"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace monsoonward
{

/// @brief Tokens that an engine says it used.
struct TokenUsage
{
    std::uint32_t promptTokens = 0;
    std::uint32_t cachedTokens = 0;
    std::uint32_t outputTokens = 0;
    MONSOONWARD_FIELDS(promptTokens, cachedTokens, outputTokens)
};

/// @brief Reads an engine's answer as it comes and tells whether it is whole. No I/O.
///
/// A stream of server-sent events is whole when each event is JSON, a finish reason came, "[DONE]" came last and
/// nothing followed. A JSON answer is whole when it parses and names its choices. What a plain service answers is
/// whole when the HTTP message is.
class EngineAnswer
{
public:
    /// @param requestId what the engine was given as X-Request-Id; an answer with another one is foreign
    EngineAnswer(ServiceKind kind, std::string requestId);

    Result<void> begin(unsigned status, const HeaderList &headers);
    /// @return tokens that @p bytes complete
    Result<std::uint32_t> append(std::string_view bytes);
    /// Call at the end of the HTTP message. @return an error when the answer isn't whole
    Result<void> end();
    const TokenUsage &usage() const;

private:
    enum class Format { Opaque, Json, EventStream };

    Result<std::uint32_t> readEvents();
    Result<std::uint32_t> readLine(std::string_view line);
    Result<std::uint32_t> readEvent(std::string_view data);
    void readUsage(const nlohmann::json &answer);

    ServiceKind m_kind;
    std::string m_requestId;
    Format m_format = Format::Opaque;
    std::string m_buffer; // an incomplete line, or the whole JSON answer
    bool m_finishSeen = false;
    bool m_doneSeen = false;
    TokenUsage m_usage;
};

} // namespace monsoonward
