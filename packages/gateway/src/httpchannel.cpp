#include "monsoonward/gateway/httpchannel.h"

#include <monsoonward/callers/callers.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace monsoonward
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace
{

constexpr std::size_t maxBufferBytes =
    std::size_t {64} * 1024; // also limits a line between two chunks, and what follows the last chunk

} // namespace

class HttpChannel::Impl : public std::enable_shared_from_this<HttpChannel::Impl>
{
public:
    Impl(asio::io_context &io, const Address &server)
        : m_server(server)
        , m_endpoint(asio::ip::make_address(server.ip), server.port)
        , m_socket(io)
        , m_timer(io)
    {
    }

    void call(http::request<http::string_body> request, const CallTimes &times, Callback done)
    {
        m_request = std::move(request);
        m_request.set(http::field::host, m_server.ip + ":" + std::to_string(m_server.port));
        m_request.prepare_payload();
        m_done = std::move(done);
        m_isSent = false;
        m_times = times;
        m_checkedBytes = 0;
        ++m_callNumber;
        awaitProgress(times.begin);
        if (m_socket.is_open() && isStillConnected()) {
            send();
        } else {
            connect();
        }
    }

    void close()
    {
        m_done = nullptr;
        ++m_callNumber;
        m_timer.cancel();
        closeSocket();
    }

    bool isReceiving() const
    {
        return m_done && m_isSent && m_parser && m_parser->got_some();
    }

private:
    void awaitProgress(Duration timeout)
    {
        m_timer.expires_after(timeout);
        m_timer.async_wait([self = shared_from_this(), call = m_callNumber](const error_code &ec) {
            if (!ec && call == self->m_callNumber) {
                self->checkProgress();
            }
        });
    }

    void checkProgress()
    {
        const auto arrived = arrivedBytes();
        const auto expected = m_checkedBytes == 0 ? 1 : m_checkedBytes + HttpChannel::minProgressBytes;
        if (arrived < expected) {
            fail(describeTimeout());
            return;
        }
        m_checkedBytes = arrived;
        awaitProgress(m_times.progress);
    }

    /// @return bytes of the response so far; those that the event loop had no time to read count
    std::size_t arrivedBytes() const
    {
        if (!m_isSent) {
            return 0;
        }
        error_code ec;
        const auto unread = m_socket.available(ec);
        const auto read = isReceiving() ? m_parser->get().body().size() + m_buffer.size() + 1 : 0;
        return read + (ec ? 0 : unread);
    }

    /// @return whether the server has neither closed the idle connection nor sent something unexpected on it
    bool isStillConnected()
    {
        char byte = 0;
        const auto n = ::recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        const bool isQuiet = n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
        if (!isQuiet) {
            closeSocket();
        }
        return isQuiet;
    }

    /// Tells a server that is silent from a response that was cut off.
    std::string describeTimeout() const
    {
        if (!m_isSent) {
            return "timed out while connecting";
        }
        if (!isReceiving()) {
            return "timed out without a response";
        }
        const auto received = m_parser->get().body().size();
        const auto total = m_parser->content_length();
        return "timed out within a response, " + std::to_string(received)
            + (total ? " of " + std::to_string(*total) : std::string()) + " bytes of its body received";
    }

    void connect()
    {
        m_buffer.clear();
        m_socket.async_connect(m_endpoint, [self = shared_from_this(), call = m_callNumber](const error_code &ec) {
            if (call != self->m_callNumber) {
                return;
            }
            if (ec) {
                self->fail("connect: " + ec.message());
                return;
            }
            setSocketOptions(self->m_socket, serverTimeout);
            self->send();
        });
    }

    void send()
    {
        m_isSent = true;
        http::async_write(m_socket,
                          m_request,
                          [self = shared_from_this(), call = m_callNumber](const error_code &ec, std::size_t /*n*/) {
                              if (call == self->m_callNumber && ec) {
                                  self->fail("send: " + ec.message());
                              }
                          });
        m_parser.emplace();
        m_parser->body_limit(maxResponseBytes);
        m_chunkLimit.attachTo(*m_parser);
        http::async_read(m_socket,
                         m_buffer,
                         *m_parser,
                         [self = shared_from_this(), call = m_callNumber](const error_code &ec, std::size_t /*n*/) {
                             if (call != self->m_callNumber) {
                                 return;
                             }
                             if (ec) {
                                 self->fail("answer: " + ec.message());
                             } else {
                                 self->finish();
                             }
                         });
    }

    void finish()
    {
        auto message = m_parser->release();
        if (!message.keep_alive() || m_buffer.size() != 0) {
            closeSocket(); // what follows a response can't be the response to the next request
        }
        auto body = std::move(message.body());
        end(ChannelResponse {message.result_int(), std::move(message.base()), std::move(body)});
    }

    void fail(const std::string &reason)
    {
        closeSocket();
        end(Error {m_isSent ? ErrorCode::Unknown : ErrorCode::Unavailable, reason});
    }

    void end(const Result<ChannelResponse> &result)
    {
        ++m_callNumber;
        m_timer.cancel();
        const auto done = std::exchange(m_done, nullptr);
        if (done) {
            done(result);
        }
    }

    void closeSocket()
    {
        error_code ignored; // the server may have closed the connection already
        m_socket.close(ignored);
    }

    Address m_server;
    asio::ip::tcp::endpoint m_endpoint;
    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_timer;
    boost::beast::flat_buffer m_buffer {maxBufferBytes};
    ChunkLimit m_chunkLimit;
    http::request<http::string_body> m_request;
    std::optional<http::response_parser<http::string_body>> m_parser;
    Callback m_done;
    CallTimes m_times;
    std::size_t m_checkedBytes = 0; // of the response, when its progress was last checked
    std::uint64_t m_callNumber = 0; // lets callbacks of earlier calls be ignored
    bool m_isSent = false;
};

HttpChannel::HttpChannel(asio::io_context &io, const Address &server)
    : m_impl(std::make_shared<Impl>(io, server))
{
}

HttpChannel::~HttpChannel()
{
    m_impl->close();
}

void HttpChannel::cancel()
{
    m_impl->close();
}

bool HttpChannel::isReceiving() const
{
    return m_impl->isReceiving();
}

void HttpChannel::call(
    const std::string &method, const std::string &path, const std::string &body, const CallTimes &times, Callback done)
{
    http::request<http::string_body> request;
    request.method_string(method);
    request.target(path);
    request.version(11);
    if (!body.empty()) {
        request.set(http::field::content_type, "application/json");
        request.body() = body;
    }
    m_impl->call(std::move(request), times, std::move(done));
}

} // namespace monsoonward
