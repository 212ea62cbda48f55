#pragma once

#include "callerconnection.h"

#include <set>

namespace monsoonward
{

/// @brief Accepts callers' connections, as many as the descriptors allow.
class CallerListener
{
public:
    explicit CallerListener(GatewayCore &core);
    CallerListener(const CallerListener &) = delete;
    CallerListener &operator=(const CallerListener &) = delete;

    /// Listens; connections wait in the kernel until open() is called. Errors: Unavailable when the address can't be
    /// listened on.
    Result<void> listen();
    /// Accepts connections from now on; does nothing when it does so already.
    void open();
    /// Takes no new connection from now on.
    void stopAccepting();
    void closeIdle();
    std::size_t connections() const;

private:
    void accept();

    GatewayCore &m_core;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_pause;
    std::set<std::shared_ptr<CallerConnection>> m_connections;
    bool m_isOpen = false;
};

} // namespace monsoonward
