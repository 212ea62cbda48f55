#pragma once

#include <monsoonward/values/values.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <string>

namespace monsoonward
{

/// @brief A response of a StatusServer.
struct StatusReply
{
    unsigned status = 200;
    std::string contentType = "text/plain";
    std::string body;
    MONSOONWARD_FIELDS(status, contentType, body)
};

/// @brief Minimal HTTP/1.1 server for health checks, metrics and state. It serves every request as a GET of its path.
class StatusServer
{
public:
    using Handler = std::function<StatusReply(const std::string &path)>;

    StatusServer(boost::asio::io_context &io, const Address &listen, Handler handler);
    StatusServer(const StatusServer &) = delete;
    StatusServer &operator=(const StatusServer &) = delete;

    /// Starts to listen and to serve. Errors: Unavailable if the address can't be listened on.
    Result<void> start();

private:
    void accept();

    Address m_listen;
    Handler m_handler;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_acceptRetryTimer;
};

} // namespace monsoonward
