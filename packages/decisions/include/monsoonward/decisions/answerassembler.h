#pragma once

#include <monsoonward/values/values.h>

namespace monsoonward
{

/// @brief Accepts the pieces of one answer and nothing else: each must name the request, the claim and the next offset.
class AnswerValidator
{
public:
    AnswerValidator(const RequestId &id, const ClaimId &claim);

    /// @return an error when the piece is foreign, late or out of order; the answer can't become whole then
    Result<void> begin(const AnswerBegin &begin);
    Result<void> chunk(const AnswerChunk &chunk);
    /// @return Completed when the answer is whole, else MayHaveRun
    Result<Verdict> end(const AnswerEnd &end);
    std::uint64_t received() const;

private:
    RequestId m_id;
    ClaimId m_claim;
    bool m_begun = false;
    bool m_ended = false;
    std::uint64_t m_received = 0;
};

} // namespace monsoonward
