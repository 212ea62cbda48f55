#include "callerconnection.h"

#include "monsoonward/callers/socketoptions.h"

#include <boost/asio/write.hpp>

#include <algorithm>

namespace monsoonward
{

namespace http = boost::beast::http;
namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace
{

constexpr Duration bodyTimeout = std::chrono::seconds(10); // if the body takes longer, the caller has timed out anyway
constexpr Duration lingerTimeout = std::chrono::seconds(1); // for the caller to read the last response and close
constexpr Duration callerTimeout =
    std::chrono::seconds(10); // long, as a caller may pause while it reads a long response
constexpr Duration finalWriteTimeout = std::chrono::seconds(
    30); // for the caller to read the rest of a complete response; it may be large and the link slow
constexpr std::size_t maxLineBytes =
    std::size_t {64} * 1024; // of a line between two chunks, and of what follows the last chunk
constexpr std::size_t maxPendingBytes =
    std::size_t {256} * 1024; // for a caller that reads slowly, so that the engine doesn't cut its response off
constexpr unsigned badRequest = 400;
constexpr unsigned requestTimeout = 408;
constexpr unsigned bodyTooLarge = 413;
constexpr unsigned headerTooLarge = 431;
constexpr unsigned unavailable = 503;
constexpr std::string_view continueText = "HTTP/1.1 100 Continue\r\n\r\n";

} // namespace

CallerConnection::CallerConnection(CallerService &service,
                                   const Clock &clock,
                                   tcp::socket socket,
                                   std::function<void(CallerConnection *)> onClosed)
    : m_service(service)
    , m_clock(clock)
    , m_socket(std::move(socket))
    , m_onClosed(std::move(onClosed))
    , m_timer(m_socket.get_executor())
    , m_requestShare(service.memory())
    , m_responseShare(service.memory())
    , m_memoryTimer(m_socket.get_executor())
{
}

CallerConnection::~CallerConnection() = default;

void CallerConnection::start()
{
    setSocketOptions(m_socket, callerTimeout);
    limitReceiveBuffer(m_socket);
    awaitRequest();
}

void CallerConnection::startTimer(Duration timeout, std::function<void()> onTimeout)
{
    stopTimer();
    m_timer.expires_after(timeout);
    m_timer.async_wait(
        [self = shared_from_this(), n = m_timerNumber, onTimeout = std::move(onTimeout)](const error_code &ec) {
            if (!ec && n == self->m_timerNumber) {
                onTimeout();
            }
        });
}

void CallerConnection::stopTimer()
{
    ++m_timerNumber; // the handler may be queued already, and is then not cancelled
    m_timer.cancel();
}

// ---- reading

void CallerConnection::awaitRequest()
{
    m_phase = Phase::Idle;
    m_isPipelined = m_buffer.size() != 0;
    if (m_isPipelined) {
        readHeader();
        return;
    }
    m_idleSince = m_clock.now();
    startIdleTimer();
    m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const error_code &ec) {
        if (self->m_phase != Phase::Idle) {
            return;
        }
        if (ec) {
            self->close();
        } else {
            self->readHeader();
        }
    });
}

void CallerConnection::startIdleTimer()
{
    const auto left = m_service.limits().idleTimeout - (m_clock.now() - m_idleSince);
    startTimer(left, [this] {
        closeIfIdle(m_service.limits().idleTimeout);
        if (m_phase == Phase::Idle) {
            startIdleTimer(); // the limit has become longer meanwhile
        }
    });
}

void CallerConnection::readHeader()
{
    const auto limits = m_service.limits();
    m_phase = Phase::Reading;
    m_parser.emplace();
    m_parser->header_limit(limits.maxHeaderBytes);
    m_parser->body_limit(limits.maxBodyBytes);
    m_chunkLimit.attachTo(*m_parser);
    m_buffer.max_size(std::max<std::size_t>(limits.maxHeaderBytes + maxLineBytes, m_buffer.size()));
    startTimer(limits.headerTimeout, [this] { respondWithError(requestTimeout, "header-time"); });
    http::async_read_header(
        m_socket, m_buffer, *m_parser, [self = shared_from_this()](const error_code &ec, std::size_t /*n*/) {
            if (self->m_phase != Phase::Reading) {
                return;
            }
            if (ec) {
                self->onReadFailed(ec);
            } else {
                self->onHeaderRead();
            }
        });
}

void CallerConnection::onHeaderRead()
{
    m_arrivedAt = m_clock.now();
    const auto &message = m_parser->get();
    m_keepAlive = message.keep_alive();
    m_httpVersion = message.version();
    m_isHead = message.method() == http::verb::head;
    const auto framing = framingOf(message, m_httpVersion);
    if (const auto *const fault = std::get_if<FramingFault>(&framing)) {
        respondWithError(fault->status, fault->reason);
        return;
    }
    m_framing = std::get<BodyFraming>(framing);
    if ((m_framing == BodyFraming::Chunked) != m_parser->chunked()) {
        respondWithError(badRequest, "framing-unclear"); // the parser would look for the body's end elsewhere
        return;
    }
    if (m_framing == BodyFraming::Chunked) {
        m_fieldsBeforeBody = message; // the parser adds trailers to the headers
    }
    if (!m_parser->is_done()) {
        m_requestShare.setDisplaceable([this] { refuseForMemory(); });
    }
    startTimer(bodyTimeout, [this] { respondWithError(requestTimeout, "body-time"); });
    if (!boost::beast::iequals(message[http::field::expect], "100-continue")) {
        readBody();
        return;
    }
    asio::async_write(
        m_socket, asio::buffer(continueText), [self = shared_from_this()](const error_code &ec, std::size_t /*n*/) {
            if (self->m_phase == Phase::Reading && !ec) {
                self->readBody();
            } else if (ec) {
                self->close();
            }
        });
}

void CallerConnection::onReadFailed(const error_code &ec)
{
    if (ec == http::error::header_limit) {
        respondWithError(headerTooLarge, "header-size");
    } else if (ec == http::error::body_limit) {
        respondWithError(bodyTooLarge, "body-size");
    } else if (ec.category() == http::make_error_code(http::error::end_of_stream).category()
               && ec != http::error::end_of_stream && ec != http::error::partial_message) {
        respondWithError(badRequest, ec.message());
    } else {
        close();
    }
}

void CallerConnection::respondWithError(unsigned status, const std::string &reason)
{
    m_keepAlive = false;
    respond(m_service.errorResponse(status, reason));
}

void CallerConnection::onRequestRead()
{
    m_phase = Phase::Responding;
    stopTimer();
    m_requestShare.setDisplaceable({});
    m_requestShare.hold(m_parser->get().body().capacity());
    if ((m_isPipelined && hasDisconnected()) || peekInput() == Input::Ended) {
        m_parser.reset();
        close();
        return;
    }
    auto request = m_parser->release();
    m_parser.reset();
    if (m_framing == BodyFraming::Chunked) {
        static_cast<http::fields &>(request) = std::move(m_fieldsBeforeBody);
    }
    frameAnew(request, m_framing, request.body().size());
    m_exchange = m_service.makeExchange(std::move(request), m_arrivedAt, *this);
    watchForDisconnect();
    const auto exchange =
        m_exchange; // keeps the exchange alive: start() may send the final response, which resets m_exchange
    exchange->start();
}

// ---- responding

void CallerConnection::setConnectionHeader(http::fields &fields)
{
    m_keepAlive = m_keepAlive && !m_service.isStopping();
    if (!m_keepAlive) {
        fields.set(http::field::connection, "close");
    }
}

void CallerConnection::respond(CallerResponse response)
{
    m_exchange.reset();
    m_requestShare.release();
    m_responseShare.hold(response.body.size());
    m_phase = Phase::Responding;
    startTimer(finalWriteTimeout, [this] { close(); });
    m_response.emplace();
    m_response->base() = http::response_header<>(std::move(response.fields));
    m_response->result(response.status);
    m_response->version(11);
    m_response->body() = std::move(response.body);
    setConnectionHeader(*m_response);
    m_response->content_length(m_response->body().size());
    if (m_isHead) {
        m_response->body().clear();
    }
    m_isWriting = true;
    http::async_write(m_socket, *m_response, [self = shared_from_this()](const error_code &ec, std::size_t /*n*/) {
        self->m_isWriting = false;
        if (ec && ec != http::error::end_of_stream) {
            self->close();
        } else {
            self->onResponseWritten();
        }
    });
}

void CallerConnection::startStream(unsigned status, const http::fields &fields)
{
    m_responseHead.emplace();
    m_responseHead->base() = http::response_header<>(fields);
    m_responseHead->result(status);
    m_responseHead->version(11);
    const bool isChunked = m_httpVersion >= 11;
    if (isChunked) {
        m_responseHead->chunked(true);
    } else {
        m_keepAlive = false; // HTTP/1.0 has no chunks: the response ends when the connection is closed
    }
    setConnectionHeader(*m_responseHead);
    m_headSerializer.emplace(*m_responseHead);
    m_isWriting = true;
    http::async_write_header(
        m_socket, *m_headSerializer, [self = shared_from_this()](const error_code &ec, std::size_t /*n*/) {
            self->m_isWriting = false;
            if (ec || (self->m_pendingBytes.empty() && self->m_isAbortPending)) {
                self->close();
            } else if (!self->m_pendingBytes.empty()) {
                self->sendBytes(std::exchange(self->m_pendingBytes, {}));
            }
        });
}

void CallerConnection::countPendingBytes()
{
    m_responseShare.hold(m_writeBuffer.size() + m_pendingBytes.size());
}

bool CallerConnection::sendBytes(std::string bytes)
{
    if (m_isWriting) {
        m_pendingBytes += bytes;
        countPendingBytes();
        const auto held = m_responseShare.bytes();
        return held < maxPendingBytes && m_responseShare.hasRoomFor(held + MemoryAccount::shortBytes);
    }
    m_writeBuffer = std::move(bytes);
    countPendingBytes();
    m_isWriting = true;
    auto done = [self = shared_from_this()](const error_code &ec, std::size_t /*n*/) { self->onBytesWritten(ec); };
    if (m_httpVersion >= 11) {
        asio::async_write(m_socket, http::make_chunk(asio::buffer(m_writeBuffer)), std::move(done));
    } else {
        asio::async_write(m_socket, asio::buffer(m_writeBuffer), std::move(done));
    }
    return true;
}

void CallerConnection::onBytesWritten(const error_code &ec)
{
    m_isWriting = false;
    m_writeBuffer = {}; // the capacity after a slow reader would stay with the connection, uncounted
    if (ec) {
        close();
        return;
    }
    if (!m_pendingBytes.empty()) {
        sendBytes(std::exchange(m_pendingBytes, {}));
    }
    if (m_isWriting && (m_isFinishPending || m_isAbortPending)) {
        return;
    }
    if (m_isAbortPending) {
        close();
        return;
    }
    countPendingBytes();
    if (m_isFinishPending) {
        finishStream();
    } else if (m_exchange) {
        const auto exchange = m_exchange;
        exchange->bytesSent();
    }
}

void CallerConnection::finishStream()
{
    m_exchange.reset();
    m_requestShare.release();
    if (!m_isFinishPending) {
        startTimer(finalWriteTimeout, [this] { close(); });
    }
    if (m_isWriting) {
        m_isFinishPending = true;
        return;
    }
    m_isFinishPending = false;
    if (m_httpVersion < 11) {
        onResponseWritten();
        return;
    }
    m_isWriting = true;
    asio::async_write(
        m_socket, http::make_chunk_last(), [self = shared_from_this()](const error_code &ec, std::size_t /*n*/) {
            self->m_isWriting = false;
            if (ec) {
                self->close();
            } else {
                self->onResponseWritten();
            }
        });
}

void CallerConnection::abort()
{
    m_exchange.reset();
    m_requestShare.release();
    if (m_isWriting) { // the caller gets what was received before the response ended
        m_isAbortPending = true;
        startTimer(finalWriteTimeout, [this] { close(); });
        return;
    }
    close();
}

void CallerConnection::onResponseWritten()
{
    if (m_phase != Phase::Responding) {
        return;
    }
    m_response.reset();
    m_responseShare.release();
    if (!m_keepAlive) {
        linger();
        return;
    }
    error_code ignored; // cancels the wait for a disconnect, the only pending operation
    m_socket.cancel(ignored);
    awaitRequest();
}

// ---- closing

void CallerConnection::linger()
{
    m_phase = Phase::Closing;
    error_code ignored; // the caller may have closed it already
    m_socket.cancel(ignored);
    m_socket.shutdown(tcp::socket::shutdown_send, ignored);
    startTimer(lingerTimeout, [this] { close(); });
    discardInput();
}

void CallerConnection::discardInput()
{
    m_socket.async_read_some(asio::buffer(m_discardBuffer),
                             [self = shared_from_this()](const error_code &ec, std::size_t n) {
                                 if (n > 0 && !std::exchange(self->m_hasReportedDiscard, true)) {
                                     self->m_service.inputDiscarded(n);
                                 }
                                 if (ec) {
                                     self->close();
                                 } else {
                                     self->discardInput();
                                 }
                             });
}

void CallerConnection::closeIfIdle(Duration minIdleTime)
{
    if (m_phase != Phase::Idle || m_clock.now() - m_idleSince < minIdleTime) {
        return;
    }
    error_code ignored; // a broken connection has nothing to read either
    if (m_socket.available(ignored) == 0) {
        close(); // a request in transit meets a reset, which tells the caller that it wasn't read
    }
}

bool CallerConnection::endRequest()
{
    const auto exchange = m_exchange; // its final response resets m_exchange
    if (exchange) {
        exchange->endNow();
    } else if (m_phase == Phase::Reading) {
        respondWithError(unavailable, "stopping");
    }
    return exchange != nullptr;
}

void CallerConnection::close()
{
    m_phase = Phase::Closing;
    stopTimer();
    m_memoryTimer.cancel();
    m_requestShare.release();
    m_responseShare.release();
    error_code ignored; // the caller may have closed it already
    m_socket.close(ignored);
    if (const auto exchange = std::exchange(m_exchange, nullptr)) {
        exchange->callerDisconnected();
    }
    if (const auto onClosed = std::exchange(m_onClosed, nullptr)) {
        onClosed(this);
    }
}

} // namespace monsoonward
