#include "httplistener.h"

#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/net/tcpsocket.h>
#include <cxxtools/regex.h>

#include <poll.h>

#include <cstring>
#include <thread>

namespace monsoonward
{

namespace
{

constexpr unsigned minThreads = 4;

const char *statusText(unsigned status)
{
    switch (status) {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 403:
        return "Forbidden";
    case 404:
        return "Not Found";
    case 409:
        return "Conflict";
    case 411:
        return "Length Required";
    case 413:
        return "Content Too Large";
    case 422:
        return "Unprocessable Content";
    case 429:
        return "Too Many Requests";
    case 500:
        return "Internal Server Error";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

bool peerClosed(int fd)
{
    pollfd it {fd, POLLRDHUP, 0};
    return poll(&it, 1, 0) > 0 && (it.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

HeaderList toHeaders(const cxxtools::http::MessageHeader &header)
{
    HeaderList headers;
    for (auto it = header.begin(); it != header.end(); ++it) {
        headers.emplace_back(it->first, it->second);
    }
    return headers;
}

void write(const HttpReply &from, std::ostream &out, cxxtools::http::Reply &to)
{
    try {
        for (const auto &[name, value] : from.headers) {
            to.addHeader(name.c_str(), value.c_str());
        }
        to.httpReturn(from.status, statusText(from.status));
        out << from.body;
    } catch (const std::exception &error) {
        to.header().clear();
        const auto *verdict = findHeader(from.headers, verdictHeader);
        const bool ran = verdict != nullptr && *verdict != textOf(Verdict::NotRun);
        const auto refusal = Refusal {
            RefusalReason::EngineFailed, ran ? Verdict::MayHaveRun : Verdict::NotRun, std::nullopt, error.what()};
        const auto reply = refusalReply({}, refusal);
        to.httpReturn(reply.status, statusText(reply.status));
        to.setHeader(verdictHeader, textOf(refusal.verdict).c_str());
        out << reply.body;
    }
}

/// Thrown out of the reading of a request that is refused at once.
class EarlyRefusal : public std::runtime_error
{
public:
    explicit EarlyRefusal(HttpReply reply)
        : std::runtime_error("request refused")
        , m_reply(std::move(reply))
    {
    }
    const HttpReply &reply() const
    {
        return m_reply;
    }

private:
    HttpReply m_reply;
};

class Responder : public cxxtools::http::Responder
{
public:
    Responder(cxxtools::http::Service &service, HttpRequestHandler &handler, std::size_t maxBodyBytes)
        : cxxtools::http::Responder(service)
        , m_handler(handler)
        , m_maxBodyBytes(maxBodyBytes)
    {
    }

    void
    beginRequest(cxxtools::net::TcpSocket &socket, std::istream & /*in*/, cxxtools::http::Request &request) override
    {
        m_fd = socket.getFd();
        m_body.clear();
        const auto headers = toHeaders(request.header());
        const auto *length = findHeader(headers, "Content-Length");
        if (findHeader(headers, "Transfer-Encoding") != nullptr) {
            const bool both = length != nullptr;
            throw EarlyRefusal(refusalBeforeSubmit(both ? 400 : 411,
                                                   both ? "ambiguous-length" : "length-required",
                                                   "a request needs a Content-Length and no Transfer-Encoding"));
        }
        if (length != nullptr && !lengthAllowed(*length)) {
            throw EarlyRefusal(refusalBeforeSubmit(413,
                                                   "body-too-large",
                                                   "Content-Length \"" + *length + "\" isn't a number up to "
                                                       + std::to_string(m_maxBodyBytes)));
        }
    }

    std::size_t readBody(std::istream &in) override
    {
        const auto available = static_cast<std::size_t>(std::max<std::streamsize>(in.rdbuf()->in_avail(), 0));
        const auto before = m_body.size();
        m_body.resize(before + available);
        in.read(m_body.data() + before, static_cast<std::streamsize>(available));
        return available;
    }

    void reply(std::ostream &out, cxxtools::http::Request &request, cxxtools::http::Reply &reply) override
    {
        const auto &query = request.qparams();
        const HttpRequest call {request.method(),
                                encodePath(request.url()) + (query.empty() ? "" : "?" + query),
                                toHeaders(request.header()),
                                std::move(m_body)};
        const auto answer = m_handler.answer(call, [this] { return peerClosed(m_fd); });
        write(answer, out, reply);
    }

    void replyError(std::ostream &out,
                    cxxtools::http::Request & /*request*/,
                    cxxtools::http::Reply &reply,
                    const std::exception &error) override
    {
        const auto *early = dynamic_cast<const EarlyRefusal *>(&error);
        write(early != nullptr ? early->reply() : refusalBeforeSubmit(400, "malformed-request", error.what()),
              out,
              reply);
        reply.setHeader("Connection", "close");
    }

private:
    bool lengthAllowed(const std::string &text) const
    {
        constexpr std::size_t maxDigits = 12;
        const bool number =
            !text.empty() && text.size() <= maxDigits && text.find_first_not_of("0123456789") == std::string::npos;
        return number && std::stoull(text) <= m_maxBodyBytes;
    }

    HttpRequestHandler &m_handler;
    std::size_t m_maxBodyBytes;
    std::string m_body;
    int m_fd = -1;
};

class Service : public cxxtools::http::Service
{
public:
    Service(HttpRequestHandler &handler, std::size_t maxBodyBytes)
        : m_handler(handler)
        , m_maxBodyBytes(maxBodyBytes)
    {
    }

protected:
    cxxtools::http::Responder *createResponder(const cxxtools::http::Request & /*request*/) override
    {
        return new Responder(*this, m_handler, m_maxBodyBytes);
    }
    void releaseResponder(cxxtools::http::Responder *responder) override
    {
        delete responder;
    }

private:
    HttpRequestHandler &m_handler;
    std::size_t m_maxBodyBytes;
};

} // namespace

class HttpListener::Impl
{
public:
    Impl(const HttpListenerOptions &options, HttpRequestHandler &handler)
        : m_options(options)
        , m_service(handler, options.maxBodyBytes)
    {
    }

    Result<void> start()
    {
        try {
            m_loop = std::make_unique<cxxtools::EventLoop>();
            m_server = std::make_unique<cxxtools::http::Server>(*m_loop);
            m_server->minThreads(std::min(minThreads, m_options.maxThreads));
            m_server->maxThreads(m_options.maxThreads);
            m_server->addService(cxxtools::Regex(".*"), m_service);
            m_server->listen(m_options.listen.ip, m_options.listen.port);
        } catch (const std::exception &error) {
            m_server.reset();
            m_loop.reset();
            return Error {ErrorCode::Unavailable,
                          "listen " + m_options.listen.ip + ":" + std::to_string(m_options.listen.port) + ": "
                              + error.what()};
        }
        m_thread = std::thread([this] { m_loop->run(); });
        return boost::outcome_v2::success();
    }

    void stop()
    {
        if (!m_thread.joinable()) {
            return;
        }
        m_loop->exit();
        m_thread.join();
        m_server.reset();
        m_loop.reset();
    }

private:
    HttpListenerOptions m_options;
    Service m_service;
    std::unique_ptr<cxxtools::EventLoop> m_loop;
    std::unique_ptr<cxxtools::http::Server> m_server;
    std::thread m_thread;
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

std::string encodePath(const std::string &path)
{
    constexpr const char *digits = "0123456789ABCDEF";
    constexpr const char *allowed = "-._~!$&'()*+,;=:@/";
    std::string encoded;
    for (const auto c : path) {
        const auto byte = static_cast<unsigned char>(c);
        const bool letterOrDigit = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
        if (letterOrDigit || (c != '\0' && std::strchr(allowed, c) != nullptr)) {
            encoded.push_back(c);
        } else {
            encoded += {'%', digits[byte >> 4U], digits[byte & 0xfU]};
        }
    }
    return encoded;
}

} // namespace monsoonward
