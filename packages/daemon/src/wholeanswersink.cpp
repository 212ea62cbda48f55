#include "wholeanswersink.h"

namespace monsoonward
{

namespace
{
constexpr auto callerCheckInterval = std::chrono::milliseconds(100);
} // namespace

WholeAnswerSink::WholeAnswerSink(std::size_t maxBytes)
    : m_maxBytes(maxBytes)
{
}

void WholeAnswerSink::accepted(const RequestId &id)
{
    const std::lock_guard lock(m_mutex);
    m_id = id;
}

void WholeAnswerSink::begin(unsigned status, const HeaderList &headers)
{
    const std::lock_guard lock(m_mutex);
    m_reply.status = status;
    m_reply.headers = headers;
}

bool WholeAnswerSink::bytes(const std::string &bytes,
                            std::size_t wireBytes,
                            const std::shared_ptr<AnswerCredit> &credit)
{
    const std::lock_guard lock(m_mutex);
    if (m_reply.body.size() + bytes.size() > m_maxBytes) {
        return false;
    }
    m_reply.body += bytes;
    credit->taken(wireBytes);
    return true;
}

void WholeAnswerSink::completed()
{
    const std::lock_guard lock(m_mutex);
    m_reply.headers.emplace_back(verdictHeader, textOf(Verdict::Completed));
    m_reply.headers.emplace_back(requestIdHeader, textOf(*m_id));
    m_done = true;
    m_changed.notify_all();
}

void WholeAnswerSink::refused(const RequestId &id, const Refusal &refusal)
{
    const std::lock_guard lock(m_mutex);
    m_reply = refusalReply(id, refusal);
    m_done = true;
    m_changed.notify_all();
}

HttpReply WholeAnswerSink::wait(const std::function<bool()> &callerGone,
                                const std::function<void(const RequestId &)> &cancel)
{
    bool cancelled = false;
    std::unique_lock lock(m_mutex);
    while (!m_changed.wait_for(lock, callerCheckInterval, [this] { return m_done; })) {
        if (cancelled || !m_id || !callerGone()) {
            continue;
        }
        cancelled = true;
        const auto id = *m_id;
        lock.unlock();
        cancel(id);
        lock.lock();
    }
    return std::move(m_reply);
}

} // namespace monsoonward
