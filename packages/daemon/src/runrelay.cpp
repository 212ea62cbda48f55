#include "runrelay.h"

#include <algorithm>

namespace monsoonward
{

namespace
{
constexpr std::size_t chunkBytes =
    std::size_t {32} * 1024; // maximum size of an AnswerChunk; smaller than a stream's flow-control window
} // namespace

RunRelay::RunRelay(const Claim &claim,
                   ServiceKind kind,
                   const Clock &clock,
                   std::shared_ptr<AnswerWriter> writer,
                   std::function<void(std::uint32_t)> onTokens)
    : m_claim(claim)
    , m_clock(clock)
    , m_writer(std::move(writer))
    , m_onTokens(std::move(onTokens))
    , m_answer(kind, textOf(claim.id))
    , m_startedAt(clock.now())
{
}

bool RunRelay::answerBegin(unsigned status, const HeaderList &headers)
{
    const auto begun = m_answer.begin(status, headers);
    if (!begun) {
        m_error = begun.error().message;
        return false;
    }
    return m_writer->write(AnswerBegin {m_claim.id, m_claim.claim, status, endToEndHeaders(headers)});
}

bool RunRelay::answerBytes(std::string_view bytes)
{
    const auto tokens = m_answer.append(bytes);
    if (!tokens) {
        m_error = tokens.error().message;
        return false;
    }
    if (tokens.value() > 0) {
        m_firstTokenAt = m_tokenCount == 0 ? m_clock.now() : m_firstTokenAt;
        m_tokenCount += tokens.value();
        m_onTokens(tokens.value());
    }
    while (!bytes.empty()) {
        const auto piece = bytes.substr(0, chunkBytes);
        if (!m_writer->write(AnswerChunk {m_claim.id, m_claim.claim, m_offset, std::string(piece)})) {
            m_error = "the entry closed the stream";
            return false;
        }
        m_offset += piece.size();
        bytes.remove_prefix(piece.size());
    }
    return true;
}

AnswerEnd RunRelay::end(const EngineRunEnd &run)
{
    AnswerEnd end;
    end.id = m_claim.id;
    end.claim = m_claim.claim;
    end.length = m_offset;
    end.verdict = run.verdict;
    end.detail = m_error.empty() ? run.detail : m_error;
    if (run.verdict == Verdict::Completed) {
        const auto whole = m_answer.end();
        if (!whole || !m_error.empty()) {
            end.verdict = Verdict::MayHaveRun;
            end.detail = whole ? m_error : whole.error().message;
        }
    }
    const auto &usage = m_answer.usage();
    end.promptTokens = usage.promptTokens;
    end.cachedTokens = usage.cachedTokens;
    end.outputTokens = std::max(usage.outputTokens, m_tokenCount);
    return end;
}

RunStats RunRelay::stats(Verdict verdict) const
{
    RunStats stats;
    const auto &usage = m_answer.usage();
    stats.promptTokens = usage.promptTokens;
    stats.cachedTokens = usage.cachedTokens;
    stats.outputTokens = std::max(usage.outputTokens, m_tokenCount);
    stats.total = m_clock.now() - m_startedAt;
    stats.toFirstToken = m_tokenCount == 0 ? Duration::zero() : m_firstTokenAt - m_startedAt;
    stats.failed = verdict != Verdict::Completed;
    return stats;
}

} // namespace monsoonward
