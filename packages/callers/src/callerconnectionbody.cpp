// How a connection reads the body of a request, and notices that its caller has left.
#include "callerconnection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <algorithm>

namespace monsoonward
{

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

namespace
{

constexpr Duration maxMemoryWait = std::chrono::milliseconds(500); // by then the caller hears when to come back
constexpr Duration memoryRetryInterval = std::chrono::milliseconds(10);
constexpr std::size_t growthFactor = 2; // of a string that grows
constexpr Duration disconnectPollInterval =
    std::chrono::milliseconds(100); // while unread bytes hide the end of the connection
constexpr unsigned unavailable = 503;

} // namespace

void CallerConnection::readBody()
{
    if (m_parser->is_done()) {
        onRequestRead();
        return;
    }
    switch (m_requestShare.ask(bytesToHold())) {
    case MemoryShare::Answer::Refused:
        refuseForMemory();
        return;
    case MemoryShare::Answer::Wait:
        awaitMemory();
        return;
    case MemoryShare::Answer::Granted:
        break;
    }
    m_waitsSince.reset();
    m_isReadingBody = true;
    http::async_read_some(
        m_socket, m_buffer, *m_parser, [self = shared_from_this()](const error_code &ec, std::size_t) {
            self->m_isReadingBody = false;
            if (self->m_phase != Phase::Reading) {
                self->m_parser.reset(); // the request was refused meanwhile
                return;
            }
            if (ec) {
                self->onReadFailed(ec);
            } else {
                self->readBody();
            }
        });
}

std::size_t CallerConnection::bytesToHold() const
{
    const auto length = m_parser->content_length();
    if (length) {
        return static_cast<std::size_t>(*length);
    }
    const auto read = m_parser->get().body().size() + MemoryAccount::shortBytes / growthFactor;
    auto bytes = MemoryAccount::shortBytes;
    while (bytes < growthFactor * read) {
        bytes *= growthFactor;
    }
    return std::min<std::size_t>(bytes, growthFactor * m_service.limits().maxBodyBytes);
}

void CallerConnection::awaitMemory()
{
    const auto now = m_clock.now();
    m_waitsSince = m_waitsSince.value_or(now);
    if (now - *m_waitsSince >= maxMemoryWait) {
        refuseForMemory();
        return;
    }
    m_memoryTimer.expires_after(memoryRetryInterval);
    m_memoryTimer.async_wait([self = shared_from_this()](const error_code &ec) {
        if (!ec && self->m_phase == Phase::Reading) {
            self->readBody();
        }
    });
}

void CallerConnection::refuseForMemory()
{
    m_requestShare.release();
    if (m_isReadingBody) {
        error_code ignored; // the caller may have closed the connection already
        m_socket.cancel(ignored);
    } else {
        m_parser.reset();
    }
    respondWithError(unavailable, "memory");
}

void CallerConnection::watchForDisconnect()
{
    if (m_buffer.size() != 0) { // a pipelined request was already received
        pollForDisconnect();
        return;
    }
    m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const error_code &ec) {
        if (!ec) {
            self->onReadable();
        }
    });
}

void CallerConnection::onReadable()
{
    if (!m_exchange || !m_socket.is_open()) {
        return;
    }
    switch (peekInput()) {
    case Input::Ended:
        close();
        break;
    case Input::None:
        watchForDisconnect();
        break;
    case Input::Unread:
        pollForDisconnect();
        break;
    }
}

CallerConnection::Input CallerConnection::peekInput()
{
    char byte = 0;
    const auto n = ::recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (n > 0) {
        return Input::Unread;
    }
    const bool isOpen = n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
    return isOpen ? Input::None : Input::Ended;
}

void CallerConnection::pollForDisconnect()
{
    startTimer(disconnectPollInterval, [this] {
        if (m_exchange && hasDisconnected()) {
            close();
        } else if (m_exchange) {
            pollForDisconnect();
        }
    });
}

bool CallerConnection::hasDisconnected()
{
    tcp_info info {};
    socklen_t size = sizeof info;
    if (::getsockopt(m_socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
        return false; // a read or write tells later
    }
    return info.tcpi_state == TCP_CLOSE_WAIT || info.tcpi_state == TCP_CLOSE;
}

} // namespace monsoonward
