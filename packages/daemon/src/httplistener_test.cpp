#include "../../transport/src/loopback.h"
#include "httplistener.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <future>

using namespace monsoonward;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

/// Never replies.
class SilentHandler : public HttpRequestHandler
{
public:
    std::shared_ptr<PendingReply> handle(const HttpRequest & /*request*/, ReplyCallback /*done*/) override
    {
        m_received.set_value();
        return nullptr;
    }
    /// @return whether a request was received within @p limit
    bool awaitRequest(std::chrono::milliseconds limit)
    {
        return m_received.get_future().wait_for(limit) == std::future_status::ready;
    }

private:
    std::promise<void> m_received;
};

} // namespace

// A second signal, or the end of the shutdown's time, cut requests in progress without an answer.
TEST_CASE("a listener that stops answers the requests in progress")
{
    SilentHandler handler;
    const Address address {"127.0.0.1", freePort()};
    HttpListener listener({address, 1000, 4}, handler);
    REQUIRE(listener.start());
    asio::io_context io;
    tcp::socket caller(io);
    caller.connect({asio::ip::make_address(address.ip), address.port});
    asio::write(caller, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\n\r\n")));
    REQUIRE(handler.awaitRequest(std::chrono::seconds(5)));
    listener.stop();
    std::string response;
    boost::system::error_code ec;
    asio::read(caller, asio::dynamic_buffer(response), ec);
    CHECK(ec == asio::error::eof);
    CHECK(response.find("HTTP/1.1 502") == 0);
    CHECK(response.find("Monsoonward-Verdict: may-have-run") != std::string::npos);
    CHECK(response.find("Connection: close") != std::string::npos);
}

// A listener that was started again listened, but never accepted a connection.
TEST_CASE("a listener that is started again accepts connections")
{
    SilentHandler handler;
    const Address address {"127.0.0.1", freePort()};
    HttpListener listener({address, 1000, 4}, handler);
    REQUIRE(listener.start());
    listener.stop();
    REQUIRE(listener.start());
    asio::io_context io;
    tcp::socket caller(io);
    caller.connect({asio::ip::make_address(address.ip), address.port});
    asio::write(caller, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\n\r\n")));
    CHECK(handler.awaitRequest(std::chrono::seconds(5)));
    listener.stop();
}
