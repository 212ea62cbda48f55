#pragma once

#include "engineanswer.h"
#include "engineclient.h"

#include <monsoonward/transport/transport.h>

#include <functional>
#include <memory>

namespace monsoonward
{

/// @brief Passes one engine's answer on to the entry, checks it as it comes and times it.
class RunRelay : public EngineRunHandler
{
public:
    /// @param tokens told how many tokens came, as they come; the first call stands for the first token
    RunRelay(const Claim &claim,
             ServiceKind kind,
             const Clock &clock,
             std::shared_ptr<AnswerWriter> writer,
             std::function<void(std::uint32_t)> tokens);

    bool answerBegin(unsigned status, const HeaderList &headers) override;
    bool answerBytes(std::string_view bytes) override;

    /// @return the end of the answer for the entry: Completed only when every check held
    AnswerEnd end(const EngineRunEnd &run);
    /// @return what the run cost; call after end()
    RunStats stats(Verdict verdict) const;

private:
    Claim m_claim;
    const Clock &m_clock;
    std::shared_ptr<AnswerWriter> m_writer;
    std::function<void(std::uint32_t)> m_tokens;
    EngineAnswer m_answer;
    std::string m_broken; // why the answer can't be whole
    std::uint64_t m_offset = 0;
    std::uint32_t m_tokenCount = 0;
    TimePoint m_began {};
    TimePoint m_firstToken {};
};

} // namespace monsoonward
