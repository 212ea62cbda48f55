#pragma once

#include "monsoonward/transport/peertransport.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <unordered_map>

namespace monsoonward
{

/// @brief The send queue of one answer: the writing thread waits while too much is queued on the I/O thread.
class AnswerQueue : public AnswerWriter
{
public:
    /// @param post hands framed bytes to the I/O thread; true: the last ones
    using Post = std::function<void(std::string framed, bool last)>;

    explicit AnswerQueue(Post post);
    bool write(const Message &message) override;
    /// @p n bytes left the queue.
    void sent(std::size_t n);
    void close();

private:
    Post m_post;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::size_t m_queued = 0;
    bool m_closed = false;
};

/// @brief The answers that are being sent. Any thread.
class AnswerQueues
{
public:
    std::shared_ptr<AnswerQueue> open(const ClaimId &claim, AnswerQueue::Post post);
    void sent(const ClaimId &claim, std::size_t n);
    void close(const ClaimId &claim);
    void closeAll();

private:
    std::mutex m_mutex;
    std::unordered_map<ClaimId, std::shared_ptr<AnswerQueue>> m_queues;
};

} // namespace monsoonward
