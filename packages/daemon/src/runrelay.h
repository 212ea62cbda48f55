#pragma once

#include "engineanswer.h"
#include "engineclient.h"

#include <monsoonward/transport/transport.h>

#include <functional>
#include <memory>

namespace monsoonward
{

/// @brief Forwards an engine's answer to the entry as it arrives, validates it and measures how long it takes.
class RunRelay : public EngineRunHandler
{
public:
    /// @param onTokens called with the number of newly received tokens; the first call marks the first token
    RunRelay(const Claim &claim,
             ServiceKind kind,
             const Clock &clock,
             std::shared_ptr<AnswerWriter> writer,
             std::function<void(std::uint32_t)> onTokens);

    bool answerBegin(unsigned status, const HeaderList &headers) override;
    bool answerBytes(std::string_view bytes) override;

    /// @return the final message for the entry; its verdict is Completed only if the answer was complete and valid
    AnswerEnd end(const EngineRunEnd &run);
    /// @return token counts and timings of the run; call after end()
    RunStats stats(Verdict verdict) const;

private:
    Claim m_claim;
    const Clock &m_clock;
    std::shared_ptr<AnswerWriter> m_writer;
    std::function<void(std::uint32_t)> m_onTokens;
    EngineAnswerParser m_answer;
    std::string m_error; // why the answer is invalid or incomplete; empty if no error was found
    std::uint64_t m_offset = 0;
    std::uint32_t m_tokenCount = 0;
    TimePoint m_startedAt {};
    TimePoint m_firstTokenAt {};
};

} // namespace monsoonward
