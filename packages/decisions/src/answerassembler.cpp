#include "monsoonward/decisions/answerassembler.h"

namespace monsoonward
{

namespace
{

Error wrongStreamError(const RequestId &id)
{
    return {ErrorCode::Invalid, "answer part for request " + textOf(id) + " on the stream of another request or claim"};
}

} // namespace

AnswerValidator::AnswerValidator(const RequestId &id, const ClaimId &claim)
    : m_id(id)
    , m_claim(claim)
{
}

Result<void> AnswerValidator::begin(const AnswerBegin &begin)
{
    if (begin.id != m_id || begin.claim != m_claim) {
        return wrongStreamError(begin.id);
    }
    if (m_begun || m_ended) {
        return Error {ErrorCode::Invalid, "the answer to " + textOf(m_id) + " began twice"};
    }
    m_begun = true;
    return boost::outcome_v2::success();
}

Result<void> AnswerValidator::chunk(const AnswerChunk &chunk)
{
    if (chunk.id != m_id || chunk.claim != m_claim) {
        return wrongStreamError(chunk.id);
    }
    if (!m_begun || m_ended || chunk.offset != m_received) {
        return Error {ErrorCode::Invalid,
                      "answer to " + textOf(m_id) + ": part at offset " + std::to_string(chunk.offset) + ", expected "
                          + std::to_string(m_received)};
    }
    m_received += chunk.bytes.size();
    return boost::outcome_v2::success();
}

Result<Verdict> AnswerValidator::end(const AnswerEnd &end)
{
    if (end.id != m_id || end.claim != m_claim) {
        return wrongStreamError(end.id);
    }
    if (m_ended) {
        return Error {ErrorCode::Invalid, "the answer to " + textOf(m_id) + " ended twice"};
    }
    m_ended = true;
    const bool whole = m_begun && end.verdict == Verdict::Completed && end.length == m_received;
    return whole ? Verdict::Completed : Verdict::MayHaveRun;
}

std::uint64_t AnswerValidator::received() const
{
    return m_received;
}

} // namespace monsoonward
