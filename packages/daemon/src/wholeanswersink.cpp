#include "wholeanswersink.h"

namespace monsoonward
{

BufferedAnswerSink::BufferedAnswerSink(std::size_t maxBytes, HttpRequestHandler::ReplyCallback done, Cancel cancel)
    : m_maxBytes(maxBytes)
    , m_done(std::move(done))
    , m_cancel(std::move(cancel))
{
}

void BufferedAnswerSink::accepted(const RequestId &id)
{
    bool wasCancelled = false;
    {
        const std::lock_guard lock(m_mutex);
        m_id = id;
        wasCancelled = m_cancelled;
    }
    if (wasCancelled) {
        m_cancel(id);
    }
}

void BufferedAnswerSink::begin(unsigned status, const HeaderList &headers)
{
    const std::lock_guard lock(m_mutex);
    m_reply.status = status;
    m_reply.headers = headers;
}

bool BufferedAnswerSink::bytes(const std::string &bytes,
                               std::size_t wireBytes,
                               const std::shared_ptr<AnswerCredit> &credit)
{
    const std::lock_guard lock(m_mutex);
    if (m_reply.body.size() + bytes.size() > m_maxBytes) {
        return false;
    }
    m_reply.body += bytes;
    credit->consumed(wireBytes);
    return true;
}

void BufferedAnswerSink::completed()
{
    HttpReply reply;
    {
        const std::lock_guard lock(m_mutex);
        m_reply.headers.emplace_back(verdictHeader, textOf(Verdict::Completed));
        m_reply.headers.emplace_back(requestIdHeader, textOf(*m_id));
        m_ended = true;
        reply = std::move(m_reply);
    }
    m_done(std::move(reply));
}

void BufferedAnswerSink::refused(const RequestId &id, const Refusal &refusal)
{
    {
        const std::lock_guard lock(m_mutex);
        m_ended = true;
    }
    m_done(refusalReply(id, refusal));
}

void BufferedAnswerSink::cancel()
{
    std::optional<RequestId> id;
    {
        const std::lock_guard lock(m_mutex);
        if (m_cancelled || m_ended) {
            return;
        }
        m_cancelled = true;
        id = m_id;
    }
    if (id) {
        m_cancel(*id);
    }
}

} // namespace monsoonward
