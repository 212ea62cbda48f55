#pragma once

#include "monsoonward/transport/peertransport.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <unordered_map>

namespace monsoonward
{

/// @brief Bounds the send queue of one answer: write() blocks while too many bytes wait for the I/O thread.
class AnswerQueue : public AnswerWriter
{
public:
    /// Passes a framed message to the I/O thread. @param last whether it ends the answer
    using PostFunction = std::function<void(std::string framed, bool last)>;

    explicit AnswerQueue(PostFunction post);
    bool write(const Message &message) override;
    /// Removes @p n bytes that the I/O thread has sent from the count.
    void onSent(std::size_t n);
    /// Makes write() return false, also in a thread that is blocked in it.
    void close();

private:
    PostFunction m_post;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::size_t m_queuedBytes = 0;
    bool m_closed = false;
};

/// @brief The queues of all answers being sent, by claim. May be used from any thread.
class AnswerQueues
{
public:
    std::shared_ptr<AnswerQueue> open(const ClaimId &claim, AnswerQueue::PostFunction post);
    void onSent(const ClaimId &claim, std::size_t n);
    void close(const ClaimId &claim);
    void closeAll();

private:
    std::mutex m_mutex;
    std::unordered_map<ClaimId, std::shared_ptr<AnswerQueue>> m_queues;
};

} // namespace monsoonward
