#include "httplistener.h"

#include <monsoonward/callers/callers.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <thread>

namespace monsoonward
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace
{

constexpr Duration finalWriteTime = std::chrono::milliseconds(200); // for the responses to requests that are ended

HttpRequest toHttpRequest(CallerRequest from)
{
    HttpRequest request;
    request.method = std::string(from.method_string());
    request.path = std::string(from.target());
    for (const auto &it : from.base()) {
        request.headers.emplace_back(std::string(it.name_string()), std::string(it.value()));
    }
    request.body = std::move(from.body());
    return request;
}

/// @return whether the headers are valid for HTTP; a line break in a value would allow header injection
bool isWritable(const HeaderList &headers)
{
    for (const auto &[name, value] : headers) {
        if (name.empty() || name.find_first_of("\r\n: ") != std::string::npos
            || value.find_first_of("\r\n") != std::string::npos) {
            return false;
        }
    }
    return true;
}

CallerResponse toCallerResponse(HttpReply from)
{
    if (!isWritable(from.headers)) {
        const auto *verdict = findHeader(from.headers, verdictHeader);
        const bool ran = verdict != nullptr && *verdict != textOf(Verdict::NotRun);
        from = refusalReply({},
                            {RefusalReason::EngineFailed,
                             ran ? Verdict::MayHaveRun : Verdict::NotRun,
                             std::nullopt,
                             "a header of the answer isn't valid"});
    }
    CallerResponse answer;
    answer.status = from.status;
    for (const auto &[name, value] : from.headers) {
        answer.fields.insert(name, value);
    }
    answer.body = std::move(from.body);
    return answer;
}

/// One request; the response is sent in one piece when the handler has answered.
class BufferedExchange : public CallerExchange, public std::enable_shared_from_this<BufferedExchange>
{
public:
    BufferedExchange(std::shared_ptr<asio::io_context> io,
                     HttpRequestHandler &handler,
                     HttpRequest request,
                     ResponseSink &sink)
        : m_io(std::move(io))
        , m_handler(handler)
        , m_request(std::move(request))
        , m_sink(&sink)
    {
    }

    void start() override
    {
        m_call = m_handler.handle(m_request, [io = m_io, weak = weak_from_this()](HttpReply reply) {
            asio::post(*io, [weak, reply = std::move(reply)]() mutable {
                if (const auto self = weak.lock()) {
                    self->answered(std::move(reply));
                }
            });
        });
        m_request = {};
    }

    void bytesSent() override
    {
    }

    void endNow() override
    {
        if (const auto call = std::exchange(m_call, nullptr)) {
            call->cancel();
        }
        if (auto *sink = std::exchange(m_sink, nullptr)) {
            sink->respond(toCallerResponse(refusalReply({},
                                                        {RefusalReason::TargetLost,
                                                         Verdict::MayHaveRun,
                                                         std::nullopt,
                                                         "the daemon ended before the request did"})));
        }
    }

    void callerDisconnected() override
    {
        m_sink = nullptr;
        if (const auto call = std::exchange(m_call, nullptr)) {
            call->cancel();
        }
    }

private:
    void answered(HttpReply reply)
    {
        m_call.reset();
        if (auto *sink = std::exchange(m_sink, nullptr)) {
            sink->respond(toCallerResponse(std::move(reply)));
        }
    }

    std::shared_ptr<asio::io_context> m_io; // shared, since the handler may answer after the listener has stopped
    HttpRequestHandler &m_handler;
    HttpRequest m_request;
    ResponseSink *m_sink; // null after the response was sent or the caller disconnected
    std::shared_ptr<PendingReply> m_call;
};

} // namespace

class HttpListener::Impl : public CallerService
{
public:
    Impl(const HttpListenerOptions &options, HttpRequestHandler &handler)
        : m_options(options)
        , m_handler(handler)
        , m_listener(*m_io, m_clock, *this, options.listen, options.maxConnections)
    {
    }

    Result<void> start()
    {
        m_isStopping = false;
        m_io->restart();
        BOOST_OUTCOME_TRY(m_listener.listen());
        m_listener.startAccepting();
        m_thread = std::thread([this] {
            const auto work = asio::make_work_guard(*m_io);
            m_io->run();
        });
        return boost::outcome_v2::success();
    }

    void stop()
    {
        if (!m_thread.joinable()) {
            return;
        }
        asio::steady_timer timer(*m_io, finalWriteTime);
        asio::post(*m_io, [&] {
            m_isStopping = true;
            m_listener.stopAccepting();
            if (m_listener.endRequests() == 0) {
                closeAll();
                return;
            }
            timer.async_wait([this](const boost::system::error_code &) {
                m_listener.endRequests(); // those that have arrived meanwhile
                closeAll();
            });
        });
        m_thread.join();
        m_io->restart();
        m_io->poll(); // runs the handlers of cancelled operations, which release their connections
    }

    CallerLimits limits() const override
    {
        CallerLimits limits;
        limits.maxBodyBytes = static_cast<std::uint32_t>(m_options.maxBodyBytes);
        return limits;
    }

    bool isStopping() const override
    {
        return m_isStopping;
    }

    std::shared_ptr<CallerExchange>
    makeExchange(CallerRequest request, TimePoint /*arrived*/, ResponseSink &sink) override
    {
        return std::make_shared<BufferedExchange>(m_io, m_handler, toHttpRequest(std::move(request)), sink);
    }

    CallerResponse errorResponse(unsigned status, const std::string &reason) override
    {
        return toCallerResponse(refusalBeforeSubmit(status, reason, "the request was not read to its end"));
    }

    void inputDiscarded(std::size_t /*bytes*/) override
    {
        // Only follows a response that announced the end of the connection.
    }

private:
    void closeAll()
    {
        m_listener.closeAll();
        m_io->stop();
    }

    HttpListenerOptions m_options;
    HttpRequestHandler &m_handler;
    SteadyClock m_clock;
    std::shared_ptr<asio::io_context> m_io = std::make_shared<asio::io_context>(1);
    CallerListener m_listener;
    std::thread m_thread;
    bool m_isStopping = false; // used on the event loop only
};

HttpListener::HttpListener(const HttpListenerOptions &options, HttpRequestHandler &handler)
    : m_impl(std::make_unique<Impl>(options, handler))
{
}

HttpListener::~HttpListener()
{
    stop();
}

Result<void> HttpListener::start()
{
    return m_impl->start();
}

void HttpListener::stop()
{
    m_impl->stop();
}

} // namespace monsoonward
