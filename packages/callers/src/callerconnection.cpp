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

constexpr Duration bodyTime = std::chrono::seconds(10); // a body that takes longer outlives its caller's patience
constexpr Duration lingerTime = std::chrono::seconds(1); // for the caller to take the last answer and close
constexpr Duration callerSilence = std::chrono::seconds(10); // a caller may pause in the middle of a long answer
constexpr unsigned badRequest = 400;
constexpr unsigned requestTimeout = 408;
constexpr unsigned bodyTooLarge = 413;
constexpr unsigned headerTooLarge = 431;
constexpr std::string_view continueText = "HTTP/1.1 100 Continue\r\n\r\n";

} // namespace

CallerConnection::CallerConnection(CallerService &service,
                                   const Clock &clock,
                                   tcp::socket socket,
                                   std::function<void(CallerConnection *)> closed)
    : m_service(service)
    , m_clock(clock)
    , m_socket(std::move(socket))
    , m_closed(std::move(closed))
    , m_timer(m_socket.get_executor())
{
}

CallerConnection::~CallerConnection() = default;

void CallerConnection::start()
{
    setSocketOptions(m_socket, callerSilence);
    awaitRequest();
}

void CallerConnection::expectWithin(Duration length, std::function<void()> late)
{
    m_timer.expires_after(length);
    m_timer.async_wait([self = shared_from_this(), late = std::move(late)](const error_code &ec) {
        if (!ec) {
            late();
        }
    });
}

// ---- reading

void CallerConnection::awaitRequest()
{
    m_phase = Phase::Idle;
    if (m_buffer.size() != 0) {
        readHeader();
        return;
    }
    expectWithin(m_service.limits().idleTimeout, [this] { closeIfIdle(); });
    m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const error_code &ec) {
        if (self->m_phase != Phase::Idle) {
            return;
        }
        if (ec) {
            self->cut();
        } else {
            self->readHeader();
        }
    });
}

void CallerConnection::readHeader()
{
    const auto bounds = m_service.limits();
    m_phase = Phase::Reading;
    m_parser.emplace();
    m_parser->header_limit(bounds.maxHeaderBytes);
    m_parser->body_limit(bounds.maxBodyBytes);
    expectWithin(bounds.headerTimeout, [this] { answerError(requestTimeout, "header-time"); });
    http::async_read_header(
        m_socket, m_buffer, *m_parser, [self = shared_from_this()](const error_code &ec, std::size_t /*n*/) {
            if (self->m_phase != Phase::Reading) {
                return;
            }
            if (ec) {
                self->readFailed(ec);
            } else {
                self->headerRead();
            }
        });
}

void CallerConnection::headerRead()
{
    m_arrived = m_clock.now();
    const auto &message = m_parser->get();
    m_keepAlive = message.keep_alive();
    m_version = message.version();
    m_isHead = message.method() == http::verb::head;
    if (message.count(http::field::content_length) != 0 && message.count(http::field::transfer_encoding) != 0) {
        answerError(badRequest, "two-lengths");
        return;
    }
    expectWithin(bodyTime, [this] { answerError(requestTimeout, "body-time"); });
    if (!boost::beast::iequals(message[http::field::expect], "100-continue")) {
        readBody();
        return;
    }
    asio::async_write(
        m_socket, asio::buffer(continueText), [self = shared_from_this()](const error_code &ec, std::size_t /*n*/) {
            if (self->m_phase == Phase::Reading && !ec) {
                self->readBody();
            } else if (ec) {
                self->cut();
            }
        });
}

void CallerConnection::readBody()
{
    if (m_parser->is_done()) {
        requestRead();
        return;
    }
    http::async_read(m_socket, m_buffer, *m_parser, [self = shared_from_this()](const error_code &ec, std::size_t) {
        if (self->m_phase != Phase::Reading) {
            return;
        }
        if (ec) {
            self->readFailed(ec);
        } else {
            self->requestRead();
        }
    });
}

void CallerConnection::readFailed(const error_code &ec)
{
    if (ec == http::error::header_limit) {
        answerError(headerTooLarge, "header-size");
    } else if (ec == http::error::body_limit) {
        answerError(bodyTooLarge, "body-size");
    } else if (ec.category() == http::make_error_code(http::error::end_of_stream).category()
               && ec != http::error::end_of_stream && ec != http::error::partial_message) {
        answerError(badRequest, ec.message());
    } else {
        cut();
    }
}

void CallerConnection::answerError(unsigned status, const std::string &reason)
{
    m_keepAlive = false;
    respond(m_service.errorResponse(status, reason));
}

void CallerConnection::requestRead()
{
    m_phase = Phase::Answering;
    m_timer.cancel();
    m_exchange = m_service.makeExchange(m_parser->release(), m_arrived, *this);
    m_parser.reset();
    watchForLeaving();
    const auto exchange = m_exchange; // start() may give the final answer
    exchange->start();
}

void CallerConnection::watchForLeaving()
{
    if (m_buffer.size() != 0) {
        return; // the next request is here already
    }
    m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const error_code &ec) {
        if (!ec) {
            self->readable();
        }
    });
}

void CallerConnection::readable()
{
    if (!m_exchange || !m_socket.is_open()) {
        return;
    }
    char byte = 0;
    const auto n = ::recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    const bool isClosed = n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
    if (isClosed) {
        cut();
    } else if (n < 0) {
        watchForLeaving();
    }
}

// ---- answering

bool CallerConnection::closesAfterAnswer() const
{
    return !m_keepAlive || m_service.isStopping();
}

void CallerConnection::respond(CallerResponse answer)
{
    m_exchange.reset();
    m_phase = Phase::Answering;
    m_timer.cancel();
    m_answer.emplace();
    m_answer->base() = http::response_header<>(std::move(answer.fields));
    m_answer->result(answer.status);
    m_answer->version(11);
    m_answer->body() = std::move(answer.body);
    if (closesAfterAnswer()) {
        m_answer->set(http::field::connection, "close");
    }
    m_answer->content_length(m_answer->body().size());
    if (m_isHead) {
        m_answer->body().clear();
    }
    m_writing = true;
    http::async_write(m_socket, *m_answer, [self = shared_from_this()](const error_code &ec, std::size_t /*n*/) {
        self->m_writing = false;
        if (ec && ec != http::error::end_of_stream) {
            self->cut();
        } else {
            self->answerWritten();
        }
    });
}

void CallerConnection::begin(unsigned status, const http::fields &fields)
{
    m_head.emplace();
    m_head->base() = http::response_header<>(fields);
    m_head->result(status);
    m_head->version(11);
    const bool isChunked = m_version >= 11;
    if (isChunked) {
        m_head->chunked(true);
    } else {
        m_keepAlive = false; // the answer ends with the connection
    }
    if (closesAfterAnswer()) {
        m_keepAlive = false;
        m_head->set(http::field::connection, "close");
    }
    m_headSerializer.emplace(*m_head);
    m_writing = true;
    http::async_write_header(
        m_socket, *m_headSerializer, [self = shared_from_this()](const error_code &ec, std::size_t /*n*/) {
            self->m_writing = false;
            if (ec) {
                self->cut();
            } else if (!self->m_waitingBytes.empty()) {
                self->bytes(std::exchange(self->m_waitingBytes, {}));
            }
        });
}

void CallerConnection::bytes(std::string bytes)
{
    if (m_writing) {
        m_waitingBytes += bytes;
        return;
    }
    m_bytes = std::move(bytes);
    m_writing = true;
    auto done = [self = shared_from_this()](const error_code &ec, std::size_t /*n*/) { self->written(ec); };
    if (m_version >= 11) {
        asio::async_write(m_socket, http::make_chunk(asio::buffer(m_bytes)), std::move(done));
    } else {
        asio::async_write(m_socket, asio::buffer(m_bytes), std::move(done));
    }
}

void CallerConnection::written(const error_code &ec)
{
    m_writing = false;
    if (ec) {
        cut();
    } else if (m_finishWanted) {
        finish();
    } else if (m_exchange) {
        const auto exchange = m_exchange;
        exchange->bytesSent();
    }
}

void CallerConnection::finish()
{
    m_exchange.reset();
    if (m_writing) {
        m_finishWanted = true;
        return;
    }
    m_finishWanted = false;
    if (m_version < 11) {
        answerWritten();
        return;
    }
    m_writing = true;
    asio::async_write(
        m_socket, http::make_chunk_last(), [self = shared_from_this()](const error_code &ec, std::size_t /*n*/) {
            self->m_writing = false;
            if (ec) {
                self->cut();
            } else {
                self->answerWritten();
            }
        });
}

void CallerConnection::breakOff()
{
    m_exchange.reset();
    cut();
}

void CallerConnection::answerWritten()
{
    if (m_phase != Phase::Answering) {
        return;
    }
    if (closesAfterAnswer()) {
        linger();
        return;
    }
    error_code ignored; // ends the watch for the caller's leaving; nothing else is pending
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
    expectWithin(lingerTime, [this] { cut(); });
    discard();
}

void CallerConnection::discard()
{
    m_socket.async_read_some(asio::buffer(m_discarded),
                             [self = shared_from_this()](const error_code &ec, std::size_t /*n*/) {
                                 if (ec) {
                                     self->cut();
                                 } else {
                                     self->discard();
                                 }
                             });
}

void CallerConnection::closeIfIdle()
{
    if (m_phase == Phase::Idle) {
        linger();
    }
}

void CallerConnection::cut()
{
    m_phase = Phase::Closing;
    m_timer.cancel();
    error_code ignored; // the caller may have closed it already
    m_socket.close(ignored);
    if (const auto exchange = std::exchange(m_exchange, nullptr)) {
        exchange->callerDisconnected();
    }
    if (const auto closed = std::exchange(m_closed, nullptr)) {
        closed(this);
    }
}

} // namespace monsoonward
