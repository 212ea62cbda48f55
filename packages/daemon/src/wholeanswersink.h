#pragma once

#include "answersink.h"
#include "httplistener.h"

#include <mutex>

namespace monsoonward
{

/// @brief Buffers an answer until it is complete.
class BufferedAnswerSink : public AnswerSink, public PendingReply
{
public:
    using Cancel = std::function<void(const RequestId &)>;

    /// @param maxBytes maximum size of the body
    /// @param done receives the reply, on the thread that calls completed() or refused()
    /// @param cancel cancels the request; called at most once
    BufferedAnswerSink(std::size_t maxBytes, HttpRequestHandler::ReplyCallback done, Cancel cancel);

    void accepted(const RequestId &id) override;
    void begin(unsigned status, const HeaderList &headers) override;
    bool bytes(const std::string &bytes, std::size_t wireBytes, const std::shared_ptr<AnswerCredit> &credit) override;
    void completed() override;
    void refused(const RequestId &id, const Refusal &refusal) override;

    /// Called when the caller has disconnected. Thread-safe.
    void cancel() override;

private:
    std::size_t m_maxBytes;
    HttpRequestHandler::ReplyCallback m_done;
    Cancel m_cancel;
    std::mutex m_mutex;
    std::optional<RequestId> m_id;
    HttpReply m_reply;
    bool m_ended = false;
    bool m_cancelled = false;
};

} // namespace monsoonward
