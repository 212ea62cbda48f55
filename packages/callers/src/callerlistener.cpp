#include "monsoonward/callers/callerlistener.h"

#include "callerconnection.h"

#include "monsoonward/callers/listening.h"

namespace monsoonward
{

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace
{

constexpr Duration acceptRetryDelay =
    std::chrono::milliseconds(50); // while connections or descriptors are at their limit

} // namespace

CallerListener::CallerListener(
    boost::asio::io_context &io, const Clock &clock, CallerService &service, Address listen, std::size_t maxConnections)
    : m_clock(clock)
    , m_service(service)
    , m_listen(std::move(listen))
    , m_maxConnections(maxConnections)
    , m_acceptor(io)
    , m_acceptRetryTimer(io)
{
}

CallerListener::~CallerListener() = default;

Result<void> CallerListener::listen()
{
    m_isAccepting = false;
    m_isClosed = false;
    return listenOn(m_acceptor, m_listen);
}

void CallerListener::startAccepting()
{
    if (!m_isAccepting) {
        m_isAccepting = true;
        accept();
    }
}

void CallerListener::accept()
{
    if (m_connections.size() >= m_maxConnections) {
        retryAccept();
        return;
    }
    m_acceptor.async_accept([this](const error_code &ec, tcp::socket socket) {
        if (m_isClosed) {
            return; // the socket is closed with its request unread
        }
        if (!ec) {
            addConnection(std::move(socket));
        }
        if (!m_acceptor.is_open()) {
            return; // stopped
        }
        if (!ec) {
            accept();
        } else if (ec != boost::asio::error::operation_aborted) {
            retryAccept();
        }
    });
}

void CallerListener::retryAccept()
{
    m_acceptRetryTimer.expires_after(acceptRetryDelay);
    m_acceptRetryTimer.async_wait([this](const error_code &ec) {
        if (!ec) {
            accept();
        }
    });
}

void CallerListener::addConnection(tcp::socket socket)
{
    const auto connection =
        std::make_shared<CallerConnection>(m_service, m_clock, std::move(socket), [this](CallerConnection *it) {
            m_connections.erase(it->shared_from_this());
        });
    m_connections.insert(connection);
    connection->start();
}

void CallerListener::stopAccepting()
{
    m_acceptRetryTimer.cancel();
    // Closing the acceptor would reset connections whose callers may have sent a request already. The error that ends
    // the loop is that none is left, or that the acceptor is closed already.
    error_code ec;
    m_acceptor.cancel(ec);
    m_acceptor.non_blocking(true, ec);
    while (!ec && m_connections.size() < m_maxConnections) {
        tcp::socket socket(m_acceptor.get_executor());
        m_acceptor.accept(socket, ec);
        if (!ec) {
            addConnection(std::move(socket));
        }
    }
    m_acceptor.close(ec);
}

void CallerListener::closeIdleConnections(Duration minIdleTime)
{
    const auto connections = m_connections;
    for (const auto &it : connections) {
        it->closeIfIdle(minIdleTime);
    }
}

std::size_t CallerListener::endRequests()
{
    const auto connections = m_connections;
    std::size_t n = 0;
    for (const auto &it : connections) {
        n += it->endRequest() ? 1 : 0;
    }
    return n;
}

void CallerListener::closeAll()
{
    m_isClosed = true;
    m_acceptRetryTimer.cancel();
    error_code ignored; // it may be closed already
    m_acceptor.close(ignored);
    const auto connections = m_connections;
    for (const auto &it : connections) {
        it->close();
    }
}

std::size_t CallerListener::connections() const
{
    return m_connections.size();
}

} // namespace monsoonward
