#pragma once

#include "callerrequest.h"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace monsoonward
{

/// @brief Token counts reported by an engine.
struct TokenUsage
{
    std::uint32_t promptTokens = 0;
    std::uint32_t cachedTokens = 0;
    std::uint32_t outputTokens = 0;
    MONSOONWARD_FIELDS(promptTokens, cachedTokens, outputTokens)
};

/// @brief Incremental parser for an engine's answer that checks whether the answer is complete. Performs no I/O.
///
/// A stream of server-sent events is complete if every event is valid JSON, one has a finish reason, and the last one
/// is "[DONE]". A JSON answer is complete if it parses and has choices. The answer of a plain service is complete if
/// the HTTP message is.
class EngineAnswerParser
{
public:
    /// @param requestId the X-Request-Id sent to the engine; an answer with a different one is invalid
    EngineAnswerParser(ServiceKind kind, std::string requestId);

    Result<void> begin(unsigned status, const HeaderList &headers);
    /// @return the number of tokens that @p bytes completed
    Result<std::uint32_t> append(std::string_view bytes);
    /// Called at the end of the HTTP message.
    /// @return an error if the answer is incomplete
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
    std::string m_buffer; // an incomplete line, or the JSON answer so far
    bool m_finishReasonSeen = false;
    bool m_doneSeen = false;
    TokenUsage m_usage;
};

} // namespace monsoonward
