#pragma once

#include "answersink.h"

#include <condition_variable>
#include <functional>
#include <mutex>

namespace monsoonward
{

/// @brief Keeps an answer until it is whole, for a thread that waits for it.
class WholeAnswerSink : public AnswerSink
{
public:
    /// @param maxBytes longest body that is kept
    explicit WholeAnswerSink(std::size_t maxBytes);

    void accepted(const RequestId &id) override;
    void begin(unsigned status, const HeaderList &headers) override;
    bool bytes(const std::string &bytes, std::size_t wireBytes, const std::shared_ptr<AnswerCredit> &credit) override;
    void completed() override;
    void refused(const RequestId &id, const Refusal &refusal) override;

    /// Waits for the final answer.
    /// @param callerGone asked every 100 ms
    /// @param cancel called once with the request's ID when the caller has gone
    HttpReply wait(const std::function<bool()> &callerGone, const std::function<void(const RequestId &)> &cancel);

private:
    std::size_t m_maxBytes;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::optional<RequestId> m_id;
    HttpReply m_reply;
    bool m_done = false;
};

} // namespace monsoonward
