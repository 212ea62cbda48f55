#include "monsoonward/callers/callers.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <functional>
#include <thread>

using namespace monsoonward;
using boost::asio::ip::tcp;

namespace
{

/// Chooses the response by the request's path and counts the listener's callbacks.
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
            ++service.exchanges;
        }
        void start() override
        {
            if (request.target() == "/stream") {
                boost::beast::http::fields fields;
                fields.set("Content-Type", "text/event-stream");
                sink->startStream(200, fields);
                sink->sendBytes(std::string(service.pieceBytes, 'a'));
            } else if (request.target() != "/silent") {
                std::exchange(sink, nullptr)->respond({200, {}, request.body()});
            }
        }
        void bytesSent() override
        {
            if (++service.pieces < service.maxPieces) {
                sink->sendBytes(std::string(service.pieceBytes, 'a'));
            } else {
                std::exchange(sink, nullptr)->finishStream();
            }
        }
        void endNow() override
        {
            std::exchange(sink, nullptr)->respond({503, {}, "ended"});
        }
        void callerDisconnected() override
        {
            sink = nullptr;
            ++service.disconnects;
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
        limits.idleTimeout = idleTimeout;
        return limits;
    }
    bool isStopping() const override
    {
        return stopping;
    }
    std::shared_ptr<CallerExchange>
    makeExchange(CallerRequest request, TimePoint /*arrivedAt*/, ResponseSink &sink) override
    {
        return std::make_shared<Exchange>(*this, std::move(request), sink);
    }
    CallerResponse errorResponse(unsigned status, const std::string &reason) override
    {
        return {status, {}, reason};
    }
    void inputDiscarded(std::size_t bytes) override
    {
        discardedBytes += bytes;
    }

    bool stopping = false;
    Duration idleTimeout = std::chrono::milliseconds(300);
    std::size_t pieceBytes = 3;
    int maxPieces = 2;
    int pieces = 0;
    int exchanges = 0;
    int disconnects = 0;
    std::size_t discardedBytes = 0;
};

/// A listener whose event loop is run by the test.
class ListenerFixture
{
public:
    ListenerFixture()
    {
        error_code ec;
        tcp::acceptor portFinder(m_io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
        m_port = portFinder.local_endpoint().port();
        portFinder.close(ec);
        m_listener =
            std::make_unique<CallerListener>(m_io, m_clock, service, Address {"127.0.0.1", m_port}, maxConnections);
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
    /// Runs the event loop until @p condition holds, at most for @p timeout.
    bool runUntil(const std::function<bool()> &condition, Duration timeout = std::chrono::seconds(10))
    {
        const auto end = std::chrono::steady_clock::now() + timeout;
        while (!condition() && std::chrono::steady_clock::now() < end) {
            m_io.run_for(std::chrono::milliseconds(5));
            m_io.restart();
        }
        return condition();
    }
    /// Reads until @p expected was received or the connection was closed.
    /// @return all bytes received, followed by "(closed)" if the connection was closed
    std::string read(tcp::socket &socket, const std::string &expected)
    {
        std::string received;
        bool ended = false;
        runUntil([&] {
            std::vector<char> buf(std::size_t {256} * 1024);
            error_code ec;
            const auto n = socket.read_some(boost::asio::buffer(buf), ec);
            received.append(buf.data(), n);
            ended = ec && ec != boost::asio::error::would_block;
            return ended || (!expected.empty() && received.find(expected) != std::string::npos);
        });
        return received + (ended ? "(closed)" : "");
    }
    std::string sendAndRead(const std::string &requestText, const std::string &expected)
    {
        auto socket = connect();
        boost::asio::write(socket, boost::asio::buffer(requestText));
        return read(socket, expected);
    }
    /// Runs one handler of the event loop, if one is ready.
    void pollOne()
    {
        m_io.poll_one();
        m_io.restart();
    }
    /// @return number of handlers that the event loop runs within @p duration
    std::size_t handlersWithin(Duration duration)
    {
        const auto n = m_io.run_for(duration);
        m_io.restart();
        return n;
    }
    std::size_t connections() const
    {
        return m_listener->connections();
    }
    void stopAccepting()
    {
        m_listener->stopAccepting();
    }
    std::size_t endRequests()
    {
        return m_listener->endRequests();
    }
    void closeAll()
    {
        m_listener->closeAll();
    }
    void closeIdleConnections(Duration minIdleTime = Duration::zero())
    {
        m_listener->closeIdleConnections(minIdleTime);
    }

    static constexpr std::size_t maxConnections = 3;
    ScriptedService service;

private:
    SteadyClock m_clock;
    boost::asio::io_context m_io;
    std::uint16_t m_port = 0;
    std::unique_ptr<CallerListener> m_listener;
};

const std::string postHead = "POST /x HTTP/1.1\r\nHost: h\r\n";

} // namespace

TEST_CASE("bodies with a content length and chunked bodies are read completely, on a persistent connection")
{
    ListenerFixture fixture;
    auto socket = fixture.connect();
    boost::asio::write(socket, boost::asio::buffer(postHead + "Content-Length: 5\r\n\r\nfirst"));
    CHECK(fixture.read(socket, "first").find("HTTP/1.1 200") == 0);
    boost::asio::write(
        socket, boost::asio::buffer(postHead + "Transfer-Encoding: chunked\r\n\r\n3\r\nsec\r\n3\r\nond\r\n0\r\n\r\n"));
    CHECK(fixture.read(socket, "second").find("HTTP/1.1 200") == 0);
    CHECK(fixture.connections() == 1);
}

TEST_CASE("pipelined requests are answered in order")
{
    ListenerFixture fixture;
    const auto requestText = postHead + "Content-Length: 3\r\n\r\n";
    const auto received = fixture.sendAndRead(requestText + "one" + requestText + "two", "two");
    CHECK(received.find("one") < received.find("two"));
}

TEST_CASE("a request that violates the protocol or a limit is rejected, and the connection is closed")
{
    ListenerFixture fixture;
    const auto statusLineStart = [&](const std::string &requestText) {
        return fixture.sendAndRead(requestText, "(never)").substr(0, 12);
    };
    CHECK(statusLineStart(postHead + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
          == "HTTP/1.1 400");
    CHECK(statusLineStart("garbage\r\n\r\n") == "HTTP/1.1 400");
    CHECK(statusLineStart(postHead + "Content-Length: -1\r\n\r\n") == "HTTP/1.1 400");
    CHECK(statusLineStart(postHead + "Content-Length: 2000\r\n\r\n") == "HTTP/1.1 413");
    CHECK(statusLineStart(postHead + "X: " + std::string(4096, 'x') + "\r\n\r\n") == "HTTP/1.1 431");
    CHECK(statusLineStart(postHead) == "HTTP/1.1 408"); // the header is never completed
}

TEST_CASE("a connection without requests is closed after the idle time")
{
    ListenerFixture fixture;
    auto socket = fixture.connect();
    CHECK(fixture.read(socket, "") == "(closed)");
}

TEST_CASE("a stream is sent piece by piece, and the next piece waits until the last one was written")
{
    ListenerFixture fixture;
    fixture.service.pieceBytes = std::size_t {1024} * 1024;
    fixture.service.maxPieces = 30;
    auto socket = fixture.connect();
    boost::asio::write(socket, boost::asio::buffer(std::string("GET /stream HTTP/1.1\r\nHost: h\r\n\r\n")));
    // The caller reads nothing for longer than serverTimeout, which must not apply to callers.
    CHECK_FALSE(fixture.runUntil([&] { return fixture.service.pieces >= 20; }, std::chrono::seconds(4)));
    CHECK(fixture.service.disconnects == 0);
    CHECK(fixture.read(socket, "\r\n0\r\n\r\n").size() > fixture.service.pieceBytes * 30);
}

TEST_CASE("a finished stream ends with the last chunk")
{
    ListenerFixture fixture;
    const auto received = fixture.sendAndRead("GET /stream HTTP/1.1\r\nHost: h\r\n\r\n", "0\r\n\r\n");
    CHECK(received.find("3\r\naaa\r\n3\r\naaa\r\n0\r\n\r\n") != std::string::npos);
}

TEST_CASE("a caller's disconnect is noticed while its response is outstanding")
{
    ListenerFixture fixture;
    {
        auto socket = fixture.connect();
        boost::asio::write(socket, boost::asio::buffer(std::string("GET /silent HTTP/1.1\r\nHost: h\r\n\r\n")));
        fixture.runUntil([&] { return fixture.connections() == 1; });
    }
    CHECK(fixture.runUntil([&] { return fixture.service.disconnects == 1; }));
    CHECK(fixture.connections() == 0);
}

// An overloaded process read requests late and passed them on, although their callers had left.
TEST_CASE("a request whose caller has left before it is read is not processed")
{
    ListenerFixture fixture;
    {
        auto socket = fixture.connect();
        boost::asio::write(socket, boost::asio::buffer(std::string("GET /silent HTTP/1.1\r\nHost: h\r\n\r\n")));
    }
    fixture.handlersWithin(std::chrono::milliseconds(100));
    CHECK(fixture.service.exchanges == 0);
    CHECK(fixture.connections() == 0);
}

TEST_CASE("a request with Expect: 100-continue gets the interim response before its body is read")
{
    ListenerFixture fixture;
    auto socket = fixture.connect();
    boost::asio::write(socket, boost::asio::buffer(postHead + "Content-Length: 4\r\nExpect: 100-continue\r\n\r\n"));
    CHECK(fixture.read(socket, "\r\n\r\n") == "HTTP/1.1 100 Continue\r\n\r\n");
    boost::asio::write(socket, boost::asio::buffer(std::string("body")));
    CHECK(fixture.read(socket, "body").find("HTTP/1.1 200") == 0);
}

TEST_CASE("during shutdown the connection is closed cleanly after the response in progress")
{
    ListenerFixture fixture;
    fixture.service.stopping = true;
    const auto received = fixture.sendAndRead(postHead + "Content-Length: 2\r\n\r\nok", "(never)");
    CHECK(received.find("Connection: close") != std::string::npos);
    CHECK(received.substr(received.size() - 10) == "ok(closed)");
}

TEST_CASE("connections beyond the limit wait until another one is closed")
{
    ListenerFixture fixture;
    std::vector<tcp::socket> openSockets;
    for (std::size_t n = 0; n < ListenerFixture::maxConnections; ++n) {
        openSockets.push_back(fixture.connect());
        boost::asio::write(openSockets.back(),
                           boost::asio::buffer(std::string("GET /silent HTTP/1.1\r\nHost: h\r\n\r\n")));
    }
    CHECK(fixture.runUntil([&] { return fixture.connections() == ListenerFixture::maxConnections; }));
    auto late = fixture.connect();
    boost::asio::write(late, boost::asio::buffer(postHead + "Content-Length: 4\r\n\r\nlate"));
    openSockets.clear();
    CHECK(fixture.read(late, "late").find("HTTP/1.1 200") == 0);
}

TEST_CASE("during shutdown a request on a connection that the kernel has just established is answered")
{
    ListenerFixture fixture;
    auto socket = fixture.connect(); // the event loop has not accepted it yet
    boost::asio::write(socket, boost::asio::buffer(postHead + "Content-Length: 2\r\n\r\nok"));
    fixture.service.stopping = true;
    fixture.stopAccepting();
    CHECK(fixture.read(socket, "(never)").find("HTTP/1.1 200") == 0);
}

TEST_CASE("a connection is not idle while a request in its socket is unread")
{
    ListenerFixture fixture;
    auto socket = fixture.connect();
    CHECK(fixture.runUntil([&] { return fixture.connections() == 1; }));
    boost::asio::write(socket, boost::asio::buffer(postHead + "Content-Length: 2\r\n\r\nok"));
    fixture.closeIdleConnections();
    CHECK(fixture.read(socket, "ok").find("HTTP/1.1 200") == 0);
}

// The first request of a connection was lost when the connection was closed as idle right after it was made.
TEST_CASE("a connection that has just been made is not closed as idle")
{
    ListenerFixture fixture;
    auto socket = fixture.connect();
    CHECK(fixture.runUntil([&] { return fixture.connections() == 1; }));
    fixture.closeIdleConnections(std::chrono::milliseconds(200));
    boost::asio::write(socket, boost::asio::buffer(postHead + "Content-Length: 2\r\n\r\nok"));
    CHECK(fixture.read(socket, "ok").find("HTTP/1.1 200") == 0);
}

// A stream that began before the shutdown was followed by the end of the connection, with the next request on it.
TEST_CASE("a shutdown during a response leaves a connection open that the response has promised to keep")
{
    ListenerFixture fixture;
    fixture.service.maxPieces = 1000000;
    auto socket = fixture.connect();
    boost::asio::write(socket, boost::asio::buffer(std::string("GET /stream HTTP/1.1\r\nHost: h\r\n\r\n")));
    CHECK(fixture.read(socket, "aaa").find("Connection: close") == std::string::npos);
    fixture.service.stopping = true;
    fixture.service.maxPieces = fixture.service.pieces;
    CHECK(fixture.read(socket, "0\r\n\r\n").find("(closed)") == std::string::npos);
    boost::asio::write(socket, boost::asio::buffer(postHead + "Content-Length: 2\r\n\r\nok"));
    const auto received = fixture.read(socket, "(never)");
    CHECK(received.find("HTTP/1.1 200") == 0);
    CHECK(received.find("Connection: close") != std::string::npos);
}

// A connection was closed after the idle time that was in force when it became idle.
TEST_CASE("a longer idle time also applies to connections that are idle already")
{
    ListenerFixture fixture;
    auto socket = fixture.connect();
    CHECK(fixture.runUntil([&] { return fixture.connections() == 1; }));
    fixture.service.idleTimeout = std::chrono::seconds(1);
    CHECK_FALSE(fixture.runUntil([&] { return fixture.connections() == 0; }, std::chrono::milliseconds(600)));
    CHECK(fixture.runUntil([&] { return fixture.connections() == 0; }, std::chrono::seconds(2)));
}

TEST_CASE("requests in progress that are ended are answered before their connections are closed")
{
    ListenerFixture fixture;
    auto socket = fixture.connect();
    boost::asio::write(socket, boost::asio::buffer(std::string("GET /silent HTTP/1.1\r\nHost: h\r\n\r\n")));
    const auto idle = fixture.connect();
    std::size_t ended = 0;
    CHECK(fixture.runUntil([&] { return (ended += fixture.endRequests()) > 0; }));
    CHECK(ended == 1);
    CHECK(fixture.read(socket, "ended").find("HTTP/1.1 503") == 0);
    CHECK(fixture.endRequests() == 0);
}

// A connection that was accepted, but not handled yet, when the listener stopped made it retry to accept without end.
TEST_CASE("a listener that has stopped does not go on accepting")
{
    ListenerFixture fixture;
    const auto first = fixture.connect();
    const auto second = fixture.connect();
    while (fixture.connections() == 0) {
        fixture.pollOne();
    }
    fixture.stopAccepting(); // the second connection's handler is ready
    CHECK(fixture.handlersWithin(std::chrono::milliseconds(50)) < 100);
    CHECK(fixture.connections() == 2);
}

// At the end of the process, a connection accepted after the others were closed had its request read and dropped.
TEST_CASE("a request on a connection that is accepted after closeAll() is not read")
{
    ListenerFixture fixture;
    auto socket = fixture.connect();
    boost::asio::write(socket, boost::asio::buffer(std::string("GET /silent HTTP/1.1\r\nHost: h\r\n\r\n")));
    fixture.closeAll();
    fixture.handlersWithin(std::chrono::milliseconds(50));
    CHECK(fixture.service.exchanges == 0);
    char byte = 0;
    boost::system::error_code ec;
    socket.read_some(boost::asio::buffer(&byte, 1), ec);
    CHECK(ec == boost::asio::error::connection_reset);
}

// A timer that expired while the event loop was busy answered a request, although it had been read meanwhile.
TEST_CASE("a request whose header is read when its time limit expires gets its own answer")
{
    ListenerFixture fixture;
    auto socket = fixture.connect();
    boost::asio::write(socket, boost::asio::buffer(std::string("GET /silent HTTP/1.1\r\n")));
    fixture.handlersWithin(std::chrono::milliseconds(50));
    boost::asio::write(socket, boost::asio::buffer(std::string("Host: h\r\n\r\n")));
    std::this_thread::sleep_for(std::chrono::milliseconds(200)); // the event loop is busy
    fixture.handlersWithin(std::chrono::milliseconds(50));
    CHECK(fixture.service.exchanges == 1);
    CHECK(fixture.endRequests() == 1);
    CHECK(fixture.read(socket, "ended").find("HTTP/1.1 503") == 0);
}

// A request that was still being read at the end of the grace period was cut without an answer.
TEST_CASE("a request that is being read when requests are ended is refused")
{
    ListenerFixture fixture;
    auto socket = fixture.connect();
    boost::asio::write(socket, boost::asio::buffer(postHead + "Content-Length: 5\r\n\r\nab"));
    fixture.handlersWithin(std::chrono::milliseconds(50));
    CHECK(fixture.endRequests() == 0);
    CHECK(fixture.read(socket, "stopping").find("HTTP/1.1 503") == 0);
    CHECK(fixture.service.exchanges == 0);
}

// Bytes that are no part of the body were kept in a buffer without limit, until the time for the body was over.
TEST_CASE("a request with chunk extensions or trailers without end is rejected, and the connection is closed")
{
    const auto chunked = postHead + "Transfer-Encoding: chunked\r\n\r\n";
    struct Case
    {
        std::string start;
        std::string endless;
    };
    const std::vector<Case> cases {
        {chunked, "0"},
        {chunked + "5;x=", "y"},
        {chunked + "0\r\n", "X: y\r\n"},
        {chunked, "1;x=" + std::string(30000, 'y') + "\r\nz\r\n"},
    };
    for (const auto &one : cases) {
        CAPTURE(one.start);
        ListenerFixture fixture;
        auto socket = fixture.connect();
        std::string piece = one.start;
        std::string received;
        std::size_t written = 0;
        bool ended = false;
        const auto startedAt = std::chrono::steady_clock::now();
        fixture.runUntil(
            [&] {
                while (piece.size() < 16384) {
                    piece += one.endless;
                }
                boost::system::error_code ec;
                const auto n = socket.write_some(boost::asio::buffer(piece), ec);
                written += n;
                piece.erase(0, n);
                char buf[4096];
                const auto got = socket.read_some(boost::asio::buffer(buf), ec);
                received.append(buf, got);
                ended = ec && ec != boost::asio::error::would_block;
                return ended || received.find("HTTP/1.1 4") != std::string::npos;
            },
            std::chrono::seconds(3));
        CHECK(std::chrono::steady_clock::now() - startedAt < std::chrono::seconds(2));
        CHECK(received.substr(0, 12) == "HTTP/1.1 400");
        CHECK(written < std::size_t {32} * 1024 * 1024);
        CHECK(fixture.runUntil([&] { return fixture.connections() == 0; }, std::chrono::seconds(3)));
    }
}

TEST_CASE("bytes sent while a response is outstanding are not read without limit")
{
    ListenerFixture fixture;
    auto socket = fixture.connect();
    std::string piece = "GET /silent HTTP/1.1\r\nHost: h\r\n\r\n";
    std::size_t written = 0;
    fixture.runUntil(
        [&] {
            boost::system::error_code ec;
            do {
                piece.resize(std::max<std::size_t>(piece.size(), 16384), 'x');
                const auto n = socket.write_some(boost::asio::buffer(piece), ec);
                written += n;
                piece.erase(0, n);
            } while (!ec && written < std::size_t {64} * 1024 * 1024);
            return false;
        },
        std::chrono::milliseconds(500));
    CHECK(written < std::size_t {32} * 1024 * 1024);
}
