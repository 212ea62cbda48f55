#include "httpserver.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <sys/socket.h>

#include <thread>

namespace standin
{

namespace
{

namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = boost::asio::ip::tcp;

constexpr std::uint64_t maxBodyBytes = std::uint64_t {64} * 1024 * 1024;

class SocketResponder : public HttpResponder
{
public:
    explicit SocketResponder(Tcp::socket &socket)
        : m_socket(socket)
    {
    }

    void respond(unsigned status, const std::string &contentType, const std::string &body) override
    {
        http::response<http::string_body> response(static_cast<http::status>(status), 11, body);
        response.set(http::field::content_type, contentType);
        response.keep_alive(true);
        response.prepare_payload();
        http::write(m_socket, response, m_error);
    }

    void begin(unsigned status, const std::string &contentType) override
    {
        http::response<http::empty_body> response(static_cast<http::status>(status), 11);
        response.set(http::field::content_type, contentType);
        response.chunked(true);
        http::response_serializer<http::empty_body> serializer(response);
        http::write_header(m_socket, serializer, m_error);
    }

    bool chunk(const std::string &bytes) override
    {
        if (!m_error) {
            boost::asio::write(m_socket, http::make_chunk(boost::asio::buffer(bytes)), m_error);
        }
        return !m_error;
    }

    void end() override
    {
        if (!m_error) {
            boost::asio::write(m_socket, http::make_chunk_last(), m_error);
        }
    }

    void cut() override
    {
        boost::system::error_code ec;
        m_socket.shutdown(Tcp::socket::shutdown_both, ec);
        m_error = boost::asio::error::connection_aborted;
    }

    bool clientGone() override
    {
        char byte = 0;
        const auto n = ::recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return m_error.failed() || n == 0;
    }

    bool failed() const
    {
        return m_error.failed();
    }

private:
    Tcp::socket &m_socket;
    boost::system::error_code m_error;
};

HttpRequest convert(const http::request<http::string_body> &message)
{
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto &it : message) {
        request.headers.emplace_back(std::string(it.name_string()), std::string(it.value()));
    }
    request.body = message.body();
    return request;
}

void serve(Tcp::socket socket, const HttpHandler &handler)
{
    boost::system::error_code ec;
    socket.set_option(Tcp::no_delay(true), ec);
    beast::flat_buffer buffer;
    while (true) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(maxBodyBytes);
        http::read(socket, buffer, parser, ec);
        if (ec) {
            return;
        }
        SocketResponder responder(socket);
        handler(convert(parser.get()), responder);
        if (responder.failed()) {
            return;
        }
    }
}

} // namespace

std::string HttpRequest::header(const std::string &name) const
{
    for (const auto &[key, value] : headers) {
        if (beast::iequals(key, name)) {
            return value;
        }
    }
    return {};
}

class HttpServer::Impl
{
public:
    Impl(std::uint16_t port, HttpHandler handler)
        : handler(std::move(handler))
        , acceptor(context, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), port))
    {
    }

    boost::asio::io_context context;
    HttpHandler handler;
    Tcp::acceptor acceptor;
};

HttpServer::HttpServer(std::uint16_t port, HttpHandler handler)
    : m_impl(std::make_unique<Impl>(port, std::move(handler)))
{
}

HttpServer::~HttpServer() = default;

std::uint16_t HttpServer::port() const
{
    return m_impl->acceptor.local_endpoint().port();
}

void HttpServer::run()
{
    while (true) {
        auto socket = m_impl->acceptor.accept();
        std::thread([this, connection = std::move(socket)]() mutable {
            serve(std::move(connection), m_impl->handler);
        }).detach();
    }
}

} // namespace standin
