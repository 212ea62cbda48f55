#pragma once

#include <monsoonward/values/values.h>

namespace monsoonward
{

/// @brief Checks that the parts of an answer belong to one request and claim, arrive in order and leave no gap.
/// It doesn't store the answer's bytes.
class AnswerValidator
{
public:
    AnswerValidator(const RequestId &id, const ClaimId &claim);

    /// begin() and chunk() return an error when the part names another request or claim, or comes out of order. The
    /// caller must treat the answer as incomplete then.
    Result<void> begin(const AnswerBegin &begin);
    Result<void> chunk(const AnswerChunk &chunk);
    /// @return Completed if all bytes have arrived and the engine completed the run, else MayHaveRun
    Result<Verdict> end(const AnswerEnd &end);
    /// @return the number of body bytes received so far
    std::uint64_t received() const;

private:
    RequestId m_id;
    ClaimId m_claim;
    bool m_begun = false;
    bool m_ended = false;
    std::uint64_t m_received = 0;
};

} // namespace monsoonward
