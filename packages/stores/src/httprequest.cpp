#include "httprequest.h"

#include <cxxtools/connectable.h>
#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>
#include <cxxtools/selector.h>

#include <algorithm>

namespace monsoonward
{

namespace
{

/// Executes one request through the asynchronous client, so that a single deadline covers connecting, sending and
/// receiving.
class RequestExecution : public cxxtools::Connectable
{
public:
    RequestExecution(const HttpCall &call, const Clock &clock, TimePoint deadline)
        : m_call(call)
        , m_clock(clock)
        , m_deadline(deadline)
        , m_client(m_selector, call.to.ip, call.to.port)
    {
        cxxtools::connect(m_client.replyFinished, *this, &RequestExecution::onFinished);
        cxxtools::connect(m_client.bodyAvailable, *this, &RequestExecution::onBody);
    }

    Result<HttpResponse> run()
    {
        try {
            begin();
            return wait();
        } catch (const std::exception &error) {
            return failure(error.what(), isConnectFailure(error) ? ErrorCode::Unavailable : ErrorCode::Unknown);
        }
    }

private:
    void begin()
    {
        m_request.url(m_call.path);
        m_request.method(m_call.method);
        m_request.setHeader("Connection", "close");
        for (const auto &it : m_call.headers) {
            m_request.setHeader(it.first.c_str(), it.second.c_str());
        }
        m_request.body().write(m_call.body.data(), static_cast<std::streamsize>(m_call.body.size()));
        m_client.beginExecute(m_request);
    }

    Result<HttpResponse> wait()
    {
        while (!m_finished && !m_tooLarge) {
            const auto left = m_deadline - m_clock.now();
            if (left <= Duration::zero()) {
                m_client.cancel();
                return failure("no response before the deadline");
            }
            const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(left).count() + 1;
            m_client.wait(cxxtools::Milliseconds(static_cast<double>(ms)));
        }
        if (m_tooLarge) {
            m_client.cancel();
            return failure("the response exceeds the size limit");
        }
        return HttpResponse {m_client.header().httpReturnCode(), m_body};
    }

    void onFinished(cxxtools::http::Client & /*client*/)
    {
        m_client.endExecute();
        m_finished = true;
    }

    std::size_t onBody(cxxtools::http::Client & /*client*/)
    {
        auto *const buf = m_client.in().rdbuf();
        const auto available = buf->in_avail();
        const auto start = m_body.size();
        m_body.resize(start + static_cast<std::size_t>(std::max<std::streamsize>(available, 0)));
        const auto count = buf->sgetn(m_body.data() + start, available);
        m_body.resize(start + static_cast<std::size_t>(count));
        m_tooLarge = m_body.size() > HttpWorkers::maxResponseBytes;
        return static_cast<std::size_t>(count);
    }

    /// The library reports a failed connect only by the text of the exception. Any other text means that the request
    /// may have been sent.
    static bool isConnectFailure(const std::exception &error)
    {
        return std::string_view(error.what()).rfind("while trying to connect", 0) == 0;
    }

    Error failure(const std::string &reason, ErrorCode code = ErrorCode::Unknown) const
    {
        return {code,
                m_call.method + " " + m_call.path + " at " + m_call.to.ip + ":" + std::to_string(m_call.to.port) + ": "
                    + reason};
    }

    const HttpCall &m_call;
    const Clock &m_clock;
    const TimePoint m_deadline;
    cxxtools::Selector m_selector;
    cxxtools::http::Client m_client;
    cxxtools::http::Request m_request;
    std::string m_body;
    bool m_finished = false;
    bool m_tooLarge = false;
};

} // namespace

Result<HttpResponse> executeHttp(const HttpCall &call, const Clock &clock, TimePoint deadline)
{
    if (clock.now() >= deadline) {
        return Error {ErrorCode::Unavailable,
                      "no worker thread was free before the deadline of " + call.method + " " + call.path};
    }
    return RequestExecution(call, clock, deadline).run();
}

} // namespace monsoonward
