#include "enginecall.h"

#include "headervalues.h"
#include "httpstatus.h"

#include <monsoonward/callers/callers.h>

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace monsoonward
{

namespace http = boost::beast::http;
namespace asio = boost::asio;
using boost::system::error_code;

namespace
{

constexpr Duration connectTimeout = std::chrono::milliseconds(350); // allows many round trips between regions
constexpr std::uint32_t maxHeaderBytes = 32U * 1024U;
constexpr std::uint64_t maxBodyBytes = std::uint64_t {1} << 40U; // 1 TiB: bodies are streamed, not buffered
constexpr std::uint64_t maxDiscardedBytes =
    std::uint64_t {256} * 1024; // of one call: interim responses, responses to other requests, bodies of rejections
constexpr std::uint64_t maxFramingBytes = std::uint64_t {64} * 1024; // apart from maxFramingBytesPerBodyByte
constexpr std::uint64_t maxFramingBytesPerBodyByte = 16; // allows chunks of one byte
constexpr Duration checkInterval = std::chrono::milliseconds(10); // while the engine takes the rest of the request
constexpr unsigned maxChecksAfterEnd = 100; // of a response that ends with its connection
constexpr Duration maxRejectionTime = std::chrono::milliseconds(200); // for the body, which nobody needs

/// @return whether the connection has an error, such as a reset, that no read or write has reported yet
bool hasSocketFailed(asio::ip::tcp::socket &socket)
{
    int error = 0;
    socklen_t size = sizeof error;
    return ::getsockopt(socket.native_handle(), SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0;
}

/// @return whether the peer's host has acknowledged all bytes that were written; true if that can't be told
bool isAllTaken(asio::ip::tcp::socket &socket)
{
    int unacknowledged = 0;
    return ::ioctl(socket.native_handle(), SIOCOUTQ, &unacknowledged) != 0 || unacknowledged == 0;
}

} // namespace

EngineCall::EngineCall(EnginePool &pool,
                       const HttpDialect &dialect,
                       const EngineRecord &engine,
                       std::shared_ptr<const Request> request,
                       EngineCallHandler &handler)
    : m_pool(pool)
    , m_dialect(dialect)
    , m_engine(engine)
    , m_request(std::move(request))
    , m_handler(&handler)
    , m_timer(pool.io())
{
}

void EngineCall::start()
{
    m_connection = m_pool.acquire(m_engine, requestHash());
    if (m_connection) {
        send();
        return;
    }
    m_connection = std::make_unique<EngineConnection>(m_pool.io());
    m_timer.expires_after(connectTimeout);
    m_timer.async_wait([self = shared_from_this()](const error_code &ec) {
        if (!ec && !self->m_isSent) {
            self->finish(AttemptOutcome::NotSent, "connect: timed out");
        }
    });
    error_code ec;
    const auto ip = asio::ip::make_address(m_engine.address.ip, ec);
    m_connection->socket.async_connect({ip, m_engine.address.port}, [self = shared_from_this()](const error_code &ec) {
        if (self->m_handler == nullptr) {
            return;
        }
        self->m_timer.cancel();
        if (ec == asio::error::connection_refused) {
            self->m_pool.connectionEnded(self->m_engine.name);
            self->m_handler->connectionRefused();
        }
        if (ec) {
            self->finish(AttemptOutcome::NotSent, "connect: " + ec.message());
            return;
        }
        setSocketOptions(self->m_connection->socket, serverTimeout);
        self->m_pool.connectionOpened(self->m_engine.name, *self->m_connection);
        self->send();
    });
}

void EngineCall::send()
{
    if (const auto reason = m_handler->reasonNotToSend(); !reason.empty()) {
        finish(AttemptOutcome::NotSent, reason);
        return;
    }
    m_isSent = true;
    m_connection->addRequest(requestHash());
    m_serializer.emplace(*m_request);
    http::async_write(
        m_connection->socket, *m_serializer, [self = shared_from_this()](const error_code &ec, std::size_t /*n*/) {
            // A write error is not reported here: the reader fails too, or finds a response that the engine sent early.
            self->m_isWritten = !ec;
            self->m_hasWriteFailed = bool(ec);
        });
    readHeader();
}

std::uint64_t EngineCall::requestHash() const
{
    const auto id = (*m_request)[m_dialect.requestId];
    return hashOf({id.data(), id.size()});
}

void EngineCall::readHeader()
{
    m_parser.emplace();
    m_parser->header_limit(maxHeaderBytes);
    m_parser->body_limit(maxBodyBytes); // Beast 1.74 treats "no limit" as a limit of zero
    m_parser->skip(m_request->method() == http::verb::head);
    http::async_read_header(m_connection->socket,
                            m_connection->buffer,
                            *m_parser,
                            [self = shared_from_this()](const error_code &ec, std::size_t n) {
                                if (self->m_handler == nullptr) {
                                    return;
                                }
                                if (ec) {
                                    self->onReadFailed(ec);
                                } else {
                                    self->onHeaderRead(n);
                                }
                            });
}

bool EngineCall::isStaleResponse() const
{
    const auto &fields = m_parser->get();
    const auto it = fields.find(m_dialect.requestId);
    return it != fields.end() && it->value() != (*m_request)[m_dialect.requestId];
}

bool EngineCall::isAttributable() const
{
    return !m_connection->isReused || m_parser->get().count(m_dialect.requestId) != 0;
}

void EngineCall::notifyOfHeaders()
{
    const auto &message = m_parser->get();
    if (message[m_dialect.engineLeaving] == "1") {
        m_handler->engineLeaving();
    }
    if (message.result_int() == httpstatus::unavailable) {
        if (const auto pause = retryAfterOf(message, EngineHealth::maxRequestedPause)) {
            m_handler->pauseRequested(*pause);
        }
    }
}

void EngineCall::notifyOfRateLimit()
{
    const auto &message = m_parser->get();
    const auto limit = rateLimitOf(message, m_dialect.engineRateLimit);
    const bool isSuccess = message.result_int() < httpstatus::firstRedirect;
    if (!limit) {
        m_handler->rateLimitMalformed(limit.error().message);
    } else if (limit.value() || isSuccess) {
        m_handler->rateLimitStated(limit.value());
    }
}

bool EngineCall::discard(std::size_t bytes)
{
    m_discardedBytes += bytes;
    if (m_discardedBytes > maxDiscardedBytes) {
        finishInvalid("more than " + std::to_string(maxDiscardedBytes) + " bytes to discard");
        return false;
    }
    return true;
}

void EngineCall::finishInvalid(const std::string &reason)
{
    if (m_isDiscarding && !m_isStaleResponse) {
        finish(AttemptOutcome::Rejected,
               "status " + std::to_string(m_parser->get().result_int()) + ", body: " + reason);
    } else {
        finish(AttemptOutcome::Broken, "answer: " + reason);
    }
}

void EngineCall::limitRejectionTime()
{
    m_timer.expires_after(maxRejectionTime);
    m_timer.async_wait([self = shared_from_this()](const error_code &ec) {
        if (!ec && self->m_handler != nullptr) {
            self->finishInvalid("not complete in time");
        }
    });
}

void EngineCall::onHeaderRead(std::size_t bytes)
{
    m_pool.bytesReceived(m_engine.name, *m_connection);
    const auto &message = m_parser->get();
    const auto status = message.result_int();
    if (!httpstatus::isStatusOfAnswer(status)) {
        finish(AttemptOutcome::Broken, "answer: status " + std::to_string(status) + " is none");
        return;
    }
    if (status < httpstatus::firstSuccess) {
        if (discard(bytes)) {
            readHeader(); // a 1xx response
        }
        return;
    }
    m_connection->keepAliveTimeout = keepAliveTimeoutOf(message);
    notifyOfHeaders();
    if (!isAttributable()) {
        finish(AttemptOutcome::Broken, "a response without a request ID on a connection that was used before");
        return;
    }
    m_isStaleResponse = isStaleResponse();
    if (!m_isStaleResponse && status != httpstatus::misdirectedRequest) { // else it is old, or another engine's
        notifyOfRateLimit();
    }
    m_outcomeAfterBody = AttemptOutcome::Rejected;
    m_isDiscarding =
        m_isStaleResponse || status == httpstatus::misdirectedRequest || message.count(m_dialect.notExecuted) != 0;
    if (m_isStaleResponse) {
        if (!discard(bytes)) {
            return;
        }
    } else if (m_isDiscarding) {
        limitRejectionTime();
    } else {
        const bool isSuccess = status < httpstatus::firstRedirect;
        if (isSuccess && (message.count(m_dialect.engineMarker) == 0 || message.count(m_dialect.requestId) == 0)) {
            finish(AttemptOutcome::Broken, "a success without the engine's marks");
            return;
        }
        m_outcomeAfterBody = httpstatus::isFailure(status) ? AttemptOutcome::Failed : AttemptOutcome::Complete;
        m_handler->responseStarted({status, message.base()});
        if (m_handler == nullptr) {
            return;
        }
    }
    readBody();
}

void EngineCall::resume()
{
    if (m_handler != nullptr) {
        readBody();
    }
}

void EngineCall::readBody()
{
    if (m_parseError) {
        onReadFailed(m_parseError);
        return;
    }
    if (m_parser->is_done()) {
        onResponseComplete();
        return;
    }
    auto &body = m_parser->get().body();
    body.data = m_bodyBuffer.data();
    body.size = m_bodyBuffer.size();
    http::async_read_some(m_connection->socket,
                          m_connection->buffer,
                          *m_parser,
                          [self = shared_from_this()](const error_code &ec, std::size_t n) {
                              if (self->m_handler != nullptr) {
                                  self->onBodyRead(ec, n);
                              }
                          });
}

std::size_t EngineCall::parseReceived()
{
    std::size_t bytes = 0;
    error_code ec;
    while (!ec && !m_parser->is_done() && m_connection->buffer.size() != 0 && m_parser->get().body().size != 0) {
        const auto n = m_parser->put(m_connection->buffer.data(), ec);
        m_connection->buffer.consume(n);
        bytes += n;
    }
    if (ec != http::error::need_buffer && ec != http::error::need_more) {
        m_parseError = ec; // reported when the bytes before it have been passed on
    }
    return bytes;
}

void EngineCall::onBodyRead(const error_code &ec, std::size_t bytesRead)
{
    if (ec && ec != http::error::need_buffer) {
        onReadFailed(ec);
        return;
    }
    m_pool.bytesReceived(m_engine.name, *m_connection);
    const auto bytes = bytesRead + parseReceived(); // without a pass through the event loop for each chunk
    if (m_isDiscarding) {
        if (discard(bytes)) {
            readBody();
        }
        return;
    }
    const auto size = m_bodyBuffer.size() - m_parser->get().body().size;
    m_bodyBytes += size;
    m_framingBytes += bytes - size;
    if (m_framingBytes > maxFramingBytes + maxFramingBytesPerBodyByte * m_bodyBytes) {
        finishInvalid("too many bytes between the chunks");
        return;
    }
    if (size == 0) {
        readBody();
        return;
    }
    m_handler->bodyReceived({m_bodyBuffer.data(), size});
}

void EngineCall::onReadFailed(const error_code &ec)
{
    const bool isLost = ec == http::error::end_of_stream || ec == http::error::partial_message || ec == asio::error::eof
        || ec == asio::error::connection_reset;
    if (isLost) {
        m_pool.connectionEnded(m_engine.name);
        m_handler->connectionLost();
    }
    finishInvalid(ec.message());
}

void EngineCall::onResponseComplete()
{
    if (m_isStaleResponse) {
        if (m_parser->keep_alive()) {
            readHeader();
        } else {
            finish(AttemptOutcome::Broken, "connection closed after the response to another request");
        }
        return;
    }
    if (m_parser->need_eof() && (m_hasWriteFailed || hasSocketFailed(m_connection->socket))) {
        finish(AttemptOutcome::Broken, "answer: connection lost"); // the write has taken the error of a reset
        return;
    }
    if (m_parser->need_eof() && !(m_isWritten && isAllTaken(m_connection->socket))) {
        awaitRequestTaken();
        return;
    }
    if (m_connection->buffer.size() != 0) {
        m_pool.reportExtraBytes(m_engine.name);
    }
    const bool isReusable = m_isWritten && m_parser->keep_alive() && m_connection->buffer.size() == 0;
    if (isReusable) {
        m_pool.release(m_engine, std::move(m_connection));
    }
    finish(m_outcomeAfterBody, m_isDiscarding ? "status " + std::to_string(m_parser->get().result_int()) : "");
}

/// The end of the connection may be the first sign of a reset. The rest of the request tells: the engine takes it, or
/// the connection fails.
void EngineCall::awaitRequestTaken()
{
    if (m_checksAfterEnd == maxChecksAfterEnd) {
        finish(AttemptOutcome::Broken, "answer: the connection ended before the request was taken");
        return;
    }
    ++m_checksAfterEnd;
    m_timer.expires_after(checkInterval);
    m_timer.async_wait([self = shared_from_this()](const error_code &ec) {
        if (!ec && self->m_handler != nullptr) {
            self->onResponseComplete();
        }
    });
}

void EngineCall::finish(AttemptOutcome outcome, const std::string &reason)
{
    auto *handler = m_handler;
    cancel();
    if (handler != nullptr) {
        handler->callEnded(outcome, reason);
    }
}

void EngineCall::cancel()
{
    m_handler = nullptr;
    m_timer.cancel();
    if (m_connection) {
        error_code ignored; // the engine may have closed the connection already
        m_connection->socket.close(ignored);
    }
}

bool EngineCall::isSent() const
{
    return m_isSent;
}

const EngineRecord &EngineCall::engine() const
{
    return m_engine;
}

std::optional<ConnectedRun> EngineCall::connectedRun() const
{
    return m_connection && m_connection->ticket ? std::optional(*m_connection->ticket) : std::nullopt;
}

} // namespace monsoonward
