#include "monsoonward/callers/callers.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <functional>

using namespace monsoonward;
using boost::asio::ip::tcp;

namespace
{

/// Answers each request by its path; notes what the listener tells it.
class ScriptedService : public CallerService
{
public:
    struct Exchange : CallerExchange
    {
        Exchange(ScriptedService &service, CallerRequest request, ResponseSink &sink)
            : service(service)
            , request(std::move(request))
            , sink(&sink)
        {
        }
        void start() override
        {
            if (request.target() == "/stream") {
                boost::beast::http::fields fields;
                fields.set("Content-Type", "text/event-stream");
                sink->begin(200, fields);
                sink->bytes(std::string(service.pieceBytes, 'a'));
            } else if (request.target() != "/silent") {
                std::exchange(sink, nullptr)->respond({200, {}, request.body()});
            }
        }
        void bytesSent() override
        {
            if (++service.pieces < service.mostPieces) {
                sink->bytes(std::string(service.pieceBytes, 'a'));
            } else {
                std::exchange(sink, nullptr)->finish();
            }
        }
        void callerDisconnected() override
        {
            sink = nullptr;
            ++service.gone;
        }
        ScriptedService &service;
        CallerRequest request;
        ResponseSink *sink;
    };

    CallerLimits limits() const override
    {
        CallerLimits limits;
        limits.maxHeaderBytes = 2048;
        limits.maxBodyBytes = 1000;
        limits.headerTimeout = std::chrono::milliseconds(100);
        limits.idleTimeout = std::chrono::milliseconds(300);
        return limits;
    }
    bool isStopping() const override
    {
        return stopping;
    }
    std::shared_ptr<CallerExchange>
    makeExchange(CallerRequest request, TimePoint /*arrived*/, ResponseSink &sink) override
    {
        return std::make_shared<Exchange>(*this, std::move(request), sink);
    }
    CallerResponse errorResponse(unsigned status, const std::string &reason) override
    {
        return {status, {}, reason};
    }

    bool stopping = false;
    std::size_t pieceBytes = 3;
    int mostPieces = 2;
    int pieces = 0;
    int gone = 0;
};

/// A listener whose event loop the test turns.
class Served
{
public:
    Served()
    {
        error_code ec;
        tcp::acceptor probe(m_io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
        m_port = probe.local_endpoint().port();
        probe.close(ec);
        m_listener =
            std::make_unique<CallerListener>(m_io, m_clock, service, Address {"127.0.0.1", m_port}, mostConnections);
        REQUIRE(m_listener->listen());
        m_listener->startAccepting();
    }
    using error_code = boost::system::error_code;

    tcp::socket connect()
    {
        tcp::socket socket(m_io);
        socket.connect(tcp::endpoint(boost::asio::ip::address_v4::loopback(), m_port));
        socket.non_blocking(true);
        return socket;
    }
    /// Turns the loop until @p holds, at most for @p length.
    bool until(const std::function<bool()> &holds, Duration length = std::chrono::seconds(10))
    {
        const auto end = std::chrono::steady_clock::now() + length;
        while (!holds() && std::chrono::steady_clock::now() < end) {
            m_io.run_for(std::chrono::milliseconds(5));
            m_io.restart();
        }
        return holds();
    }
    /// @return what was received when it held @p part, or when the connection ended
    std::string read(tcp::socket &socket, const std::string &part)
    {
        std::string received;
        bool ended = false;
        until([&] {
            std::vector<char> buf(std::size_t {256} * 1024);
            error_code ec;
            const auto n = socket.read_some(boost::asio::buffer(buf), ec);
            received.append(buf.data(), n);
            ended = ec && ec != boost::asio::error::would_block;
            return ended || (!part.empty() && received.find(part) != std::string::npos);
        });
        return received + (ended ? "(closed)" : "");
    }
    std::string ask(const std::string &text, const std::string &part)
    {
        auto socket = connect();
        boost::asio::write(socket, boost::asio::buffer(text));
        return read(socket, part);
    }
    std::size_t connections() const
    {
        return m_listener->connections();
    }

    static constexpr std::size_t mostConnections = 3;
    ScriptedService service;

private:
    SteadyClock m_clock;
    boost::asio::io_context m_io;
    std::uint16_t m_port = 0;
    std::unique_ptr<CallerListener> m_listener;
};

const std::string post = "POST /x HTTP/1.1\r\nHost: h\r\n";

} // namespace

TEST_CASE("bodies by length and in chunks come whole, on a connection that is kept")
{
    Served served;
    auto socket = served.connect();
    boost::asio::write(socket, boost::asio::buffer(post + "Content-Length: 5\r\n\r\nfirst"));
    CHECK(served.read(socket, "first").find("HTTP/1.1 200") == 0);
    boost::asio::write(
        socket, boost::asio::buffer(post + "Transfer-Encoding: chunked\r\n\r\n3\r\nsec\r\n3\r\nond\r\n0\r\n\r\n"));
    CHECK(served.read(socket, "second").find("HTTP/1.1 200") == 0);
    CHECK(served.connections() == 1);
}

TEST_CASE("requests that come together are answered one after the other")
{
    Served served;
    const auto text = post + "Content-Length: 3\r\n\r\n";
    const auto received = served.ask(text + "one" + text + "two", "two");
    CHECK(received.find("one") < received.find("two"));
}

TEST_CASE("what breaks the protocol or a limit is refused, and the connection ends")
{
    Served served;
    const auto startOf = [&](const std::string &text) { return served.ask(text, "(never)").substr(0, 12); };
    CHECK(startOf(post + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n") == "HTTP/1.1 400");
    CHECK(startOf("garbage\r\n\r\n") == "HTTP/1.1 400");
    CHECK(startOf(post + "Content-Length: -1\r\n\r\n") == "HTTP/1.1 400");
    CHECK(startOf(post + "Content-Length: 2000\r\n\r\n") == "HTTP/1.1 413");
    CHECK(startOf(post + "X: " + std::string(4096, 'x') + "\r\n\r\n") == "HTTP/1.1 431");
    CHECK(startOf(post) == "HTTP/1.1 408"); // the header's end never comes
}

TEST_CASE("a connection without requests is closed after the idle time")
{
    Served served;
    auto socket = served.connect();
    CHECK(served.read(socket, "") == "(closed)");
}

TEST_CASE("events are passed on as they come, and the next one waits until the caller has taken the last")
{
    Served served;
    served.service.pieceBytes = std::size_t {1024} * 1024;
    served.service.mostPieces = 30;
    auto socket = served.connect();
    boost::asio::write(socket, boost::asio::buffer(std::string("GET /stream HTTP/1.1\r\nHost: h\r\n\r\n")));
    // The caller reads nothing for longer than a silent server would be given.
    CHECK_FALSE(served.until([&] { return served.service.pieces >= 20; }, std::chrono::seconds(4)));
    CHECK(served.service.gone == 0);
    CHECK(served.read(socket, "\r\n0\r\n\r\n").size() > served.service.pieceBytes * 30);
}

TEST_CASE("a stream ends with its last chunk")
{
    Served served;
    const auto received = served.ask("GET /stream HTTP/1.1\r\nHost: h\r\n\r\n", "0\r\n\r\n");
    CHECK(received.find("3\r\naaa\r\n3\r\naaa\r\n0\r\n\r\n") != std::string::npos);
}

TEST_CASE("a caller that leaves is noticed while its answer is outstanding")
{
    Served served;
    {
        auto socket = served.connect();
        boost::asio::write(socket, boost::asio::buffer(std::string("GET /silent HTTP/1.1\r\nHost: h\r\n\r\n")));
        served.until([&] { return served.connections() == 1; });
    }
    CHECK(served.until([&] { return served.service.gone == 1; }));
    CHECK(served.connections() == 0);
}

TEST_CASE("a caller that asks first is told to go on")
{
    Served served;
    auto socket = served.connect();
    boost::asio::write(socket, boost::asio::buffer(post + "Content-Length: 4\r\nExpect: 100-continue\r\n\r\n"));
    CHECK(served.read(socket, "\r\n\r\n") == "HTTP/1.1 100 Continue\r\n\r\n");
    boost::asio::write(socket, boost::asio::buffer(std::string("body")));
    CHECK(served.read(socket, "body").find("HTTP/1.1 200") == 0);
}

TEST_CASE("at a stop the answer in progress closes its connection in order")
{
    Served served;
    served.service.stopping = true;
    const auto received = served.ask(post + "Content-Length: 2\r\n\r\nok", "(never)");
    CHECK(received.find("Connection: close") != std::string::npos);
    CHECK(received.substr(received.size() - 10) == "ok(closed)");
}

TEST_CASE("connections beyond the bound wait until another one ends")
{
    Served served;
    std::vector<tcp::socket> held;
    for (std::size_t n = 0; n < Served::mostConnections; ++n) {
        held.push_back(served.connect());
        boost::asio::write(held.back(), boost::asio::buffer(std::string("GET /silent HTTP/1.1\r\nHost: h\r\n\r\n")));
    }
    CHECK(served.until([&] { return served.connections() == Served::mostConnections; }));
    auto late = served.connect();
    boost::asio::write(late, boost::asio::buffer(post + "Content-Length: 4\r\n\r\nlate"));
    held.clear();
    CHECK(served.read(late, "late").find("HTTP/1.1 200") == 0);
}
