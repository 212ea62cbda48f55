#pragma once

#include "answersink.h"
#include "httplistener.h"

#include <mutex>

namespace monsoonward
{

/// @brief Keeps an answer until it is whole.
class WholeAnswerSink : public AnswerSink, public PendingReply
{
public:
    using Cancel = std::function<void(const RequestId &)>;

    /// @param maxBytes longest body that is kept
    /// @param done takes the answer, on the thread that brings its end
    /// @param cancel cancels the request; called at most once
    WholeAnswerSink(std::size_t maxBytes, HttpRequestHandler::Done done, Cancel cancel);

    void accepted(const RequestId &id) override;
    void begin(unsigned status, const HeaderList &headers) override;
    bool bytes(const std::string &bytes, std::size_t wireBytes, const std::shared_ptr<AnswerCredit> &credit) override;
    void completed() override;
    void refused(const RequestId &id, const Refusal &refusal) override;

    /// The caller has gone. Any thread.
    void cancel() override;

private:
    std::size_t m_maxBytes;
    HttpRequestHandler::Done m_done;
    Cancel m_cancel;
    std::mutex m_mutex;
    std::optional<RequestId> m_id;
    HttpReply m_reply;
    bool m_ended = false;
    bool m_cancelled = false;
};

} // namespace monsoonward
