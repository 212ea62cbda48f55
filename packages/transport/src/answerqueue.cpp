#include "answerqueue.h"

#include "frame.h"
#include "monsoonward/transport/codec.h"

namespace monsoonward
{

namespace
{
constexpr std::size_t maxQueuedBytes = std::size_t {256} * 1024; // of one answer
} // namespace

AnswerQueue::AnswerQueue(PostFunction post)
    : m_post(std::move(post))
{
}

bool AnswerQueue::write(const Message &message)
{
    auto framed = frame(encode(message));
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock, [this] { return m_closed || m_queuedBytes < maxQueuedBytes; });
    if (m_closed) {
        return false;
    }
    m_queuedBytes += framed.size();
    m_post(std::move(framed), std::holds_alternative<AnswerEnd>(message));
    return true;
}

void AnswerQueue::onSent(std::size_t n)
{
    const std::lock_guard lock(m_mutex);
    m_queuedBytes -= std::min(n, m_queuedBytes);
    m_changed.notify_all();
}

void AnswerQueue::close()
{
    const std::lock_guard lock(m_mutex);
    m_closed = true;
    m_changed.notify_all();
}

std::shared_ptr<AnswerQueue> AnswerQueues::open(const ClaimId &claim, AnswerQueue::PostFunction post)
{
    auto queue = std::make_shared<AnswerQueue>(std::move(post));
    const std::lock_guard lock(m_mutex);
    m_queues[claim] = queue;
    return queue;
}

void AnswerQueues::onSent(const ClaimId &claim, std::size_t n)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_queues.find(claim);
    if (it != m_queues.end()) {
        it->second->onSent(n);
    }
}

void AnswerQueues::close(const ClaimId &claim)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_queues.find(claim);
    if (it != m_queues.end()) {
        it->second->close();
        m_queues.erase(it);
    }
}

void AnswerQueues::closeAll()
{
    const std::lock_guard lock(m_mutex);
    for (auto &[claim, it] : m_queues) {
        it->close();
    }
    m_queues.clear();
}

} // namespace monsoonward
