#include "statusserver.h"

#include <monsoonward/callers/callers.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <optional>

namespace monsoonward
{

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

namespace
{

constexpr Duration acceptRetryDelay = std::chrono::milliseconds(50); // while no descriptor is free
constexpr Duration idleTimeout =
    std::chrono::seconds(30); // longer than the interval of health checks and metrics scrapes
constexpr std::size_t maxBufferBytes =
    std::size_t {64} * 1024; // also limits a line between two chunks, and what follows the last chunk

/// One connection. Its pending callbacks own it.
class StatusConnection : public std::enable_shared_from_this<StatusConnection>
{
public:
    StatusConnection(tcp::socket socket, const StatusServer::Handler &handler)
        : m_socket(std::move(socket))
        , m_timer(m_socket.get_executor())
        , m_handler(handler)
    {
    }

    void read()
    {
        m_timer.expires_after(idleTimeout);
        m_timer.async_wait([self = shared_from_this()](const error_code &ec) {
            if (!ec) {
                self->close();
            }
        });
        m_parser.emplace();
        m_chunkLimit.attachTo(*m_parser);
        http::async_read(m_socket, m_buffer, *m_parser, [self = shared_from_this()](const error_code &ec, std::size_t) {
            if (ec) {
                self->close();
            } else {
                self->respond();
            }
        });
    }

private:
    void respond()
    {
        const auto &request = m_parser->get();
        const auto reply = m_handler(std::string(request.target()));
        m_response = {};
        m_response.result(reply.status);
        m_response.version(11);
        m_response.set(http::field::content_type, reply.contentType);
        m_response.body() = reply.body;
        m_response.keep_alive(request.keep_alive());
        m_response.prepare_payload();
        http::async_write(m_socket, m_response, [self = shared_from_this()](const error_code &ec, std::size_t) {
            if (ec || !self->m_parser->get().keep_alive()) {
                self->close();
            } else {
                self->read();
            }
        });
    }

    void close()
    {
        m_timer.cancel();
        error_code ignored; // the peer may have closed the connection already
        m_socket.shutdown(tcp::socket::shutdown_both, ignored);
        m_socket.close(ignored);
    }

    tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    const StatusServer::Handler &m_handler;
    boost::beast::flat_buffer m_buffer {maxBufferBytes};
    ChunkLimit m_chunkLimit;
    std::optional<http::request_parser<http::string_body>> m_parser;
    http::response<http::string_body> m_response;
};

} // namespace

StatusServer::StatusServer(boost::asio::io_context &io, const Address &listen, Handler handler)
    : m_listen(listen)
    , m_handler(std::move(handler))
    , m_acceptor(io)
    , m_acceptRetryTimer(io)
{
}

Result<void> StatusServer::start()
{
    BOOST_OUTCOME_TRY(listenOn(m_acceptor, m_listen));
    accept();
    return boost::outcome_v2::success();
}

void StatusServer::accept()
{
    m_acceptor.async_accept([this](const error_code &ec, tcp::socket socket) {
        if (ec == boost::asio::error::operation_aborted) {
            return;
        }
        if (!ec) {
            std::make_shared<StatusConnection>(std::move(socket), m_handler)->read();
            accept();
            return;
        }
        m_acceptRetryTimer.expires_after(acceptRetryDelay);
        m_acceptRetryTimer.async_wait([this](const error_code &timerError) {
            if (!timerError) {
                accept();
            }
        });
    });
}

} // namespace monsoonward
