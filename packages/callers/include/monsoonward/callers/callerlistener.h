#pragma once

#include "monsoonward/callers/callerservice.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <set>

namespace monsoonward
{

class CallerConnection;

/// @brief HTTP/1.1 server for callers: accepts a limited number of connections, reads requests within the service's
/// limits, and sends or streams the responses. Everything runs on one event loop.
class CallerListener
{
public:
    /// @param io, clock, service must outlive the listener
    /// @param maxConnections open at the same time; more wait in the kernel's backlog
    CallerListener(boost::asio::io_context &io,
                   const Clock &clock,
                   CallerService &service,
                   Address listen,
                   std::size_t maxConnections);
    ~CallerListener();
    CallerListener(const CallerListener &) = delete;
    CallerListener &operator=(const CallerListener &) = delete;

    /// Starts to listen. Connections wait in the kernel's backlog until startAccepting() is called. Errors: Unavailable
    /// if the address can't be listened on.
    Result<void> listen();
    /// Starts to accept connections, unless it already does.
    void startAccepting();
    /// Accepts the connections that the kernel has already established, then stops listening. Open connections are not
    /// affected.
    void stopAccepting();
    /// Closes the connections on which no request has been in progress for @p minIdleTime. On others, such as those
    /// that were just made, a request may be in transit.
    void closeIdleConnections(Duration minIdleTime);
    /// Lets each request in progress send its final response now, and refuses those that are still being read.
    /// @return number of requests that were in progress
    std::size_t endRequests();
    /// Stops listening and closes all connections immediately, also those with a request in progress. Nothing is read
    /// afterwards.
    void closeAll();
    /// @return number of open connections
    std::size_t connections() const;

private:
    void accept();
    void retryAccept();
    void addConnection(boost::asio::ip::tcp::socket socket);

    const Clock &m_clock;
    CallerService &m_service;
    Address m_listen;
    std::size_t m_maxConnections;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_acceptRetryTimer;
    std::set<std::shared_ptr<CallerConnection>> m_connections;
    bool m_isAccepting = false;
    bool m_isClosed = false; // by closeAll()
};

} // namespace monsoonward
