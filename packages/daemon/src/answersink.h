#pragma once

#include "callerrequest.h"

#include <memory>

namespace monsoonward
{

/// @brief Gives window back to the target once a caller has taken a part of its answer. Any thread.
class AnswerCredit
{
public:
    virtual ~AnswerCredit() = default;
    virtual void taken(std::size_t wireBytes) = 0;
};

/// @brief Where the answer to one request goes. Calls come from one thread at a time.
/// Exactly one of completed() and refused() is the last call.
class AnswerSink
{
public:
    virtual ~AnswerSink() = default;
    /// The request got its ID; the first call.
    virtual void accepted(const RequestId &id) = 0;
    virtual void begin(unsigned status, const HeaderList &headers) = 0;
    /// @param wireBytes to be given to @p credit when the bytes were taken
    /// @return false when the answer is too large for the caller; the request is cancelled then
    virtual bool
    bytes(const std::string &bytes, std::size_t wireBytes, const std::shared_ptr<AnswerCredit> &credit) = 0;
    virtual void completed() = 0;
    virtual void refused(const RequestId &id, const Refusal &refusal) = 0;
};

} // namespace monsoonward
