#pragma once

#include "callerrequest.h"

#include <memory>

namespace monsoonward
{

/// @brief Returns flow-control credit to the target when a caller has consumed part of an answer. Thread-safe.
class AnswerCredit
{
public:
    virtual ~AnswerCredit() = default;
    virtual void consumed(std::size_t wireBytes) = 0;
};

/// @brief Receives the answer to one request. Methods are called by one thread at a time.
/// The last call is either completed() or refused().
class AnswerSink
{
public:
    virtual ~AnswerSink() = default;
    /// Called first, when the request has been given its ID.
    virtual void accepted(const RequestId &id) = 0;
    virtual void begin(unsigned status, const HeaderList &headers) = 0;
    /// @param wireBytes to be passed to AnswerCredit::consumed() of @p credit when the caller has consumed @p bytes
    /// @return false if the answer is too large; the request is then cancelled
    virtual bool
    bytes(const std::string &bytes, std::size_t wireBytes, const std::shared_ptr<AnswerCredit> &credit) = 0;
    virtual void completed() = 0;
    virtual void refused(const RequestId &id, const Refusal &refusal) = 0;
};

} // namespace monsoonward
