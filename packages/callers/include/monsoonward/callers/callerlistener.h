#pragma once

#include "monsoonward/callers/callerservice.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <set>

namespace monsoonward
{

class CallerConnection;

/// @brief Callers over streaming HTTP/1.1: accepts their connections up to a bound, reads requests within the service's
/// limits, and passes answers on as they come. Everything runs on one event loop.
class CallerListener
{
public:
    /// @param maxConnections open at once; more wait in the kernel
    /// @param io, clock, service outlive the listener
    CallerListener(boost::asio::io_context &io,
                   const Clock &clock,
                   CallerService &service,
                   Address listen,
                   std::size_t maxConnections);
    ~CallerListener();
    CallerListener(const CallerListener &) = delete;
    CallerListener &operator=(const CallerListener &) = delete;

    /// Listens; connections wait in the kernel until startAccepting() is called. Errors: Unavailable when the address
    /// can't be listened on.
    Result<void> listen();
    /// Accepts connections from now on; does nothing when it does so already.
    void startAccepting();
    /// Takes no new connection from now on.
    void stopAccepting();
    /// Closes the connections that wait for a request.
    void closeIdleConnections();
    /// Closes all connections at once.
    void closeAll();
    std::size_t connections() const;

private:
    void accept();

    const Clock &m_clock;
    CallerService &m_service;
    Address m_listen;
    std::size_t m_maxConnections;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_acceptRetryTimer;
    std::set<std::shared_ptr<CallerConnection>> m_connections;
    bool m_isAccepting = false;
};

} // namespace monsoonward
