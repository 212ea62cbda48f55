#include "gatewayfixture.h"
#include "statusserver.h"

#include <sys/resource.h>

using namespace monsoonward;
using namespace std::chrono_literals;

// Chunk extensions and trailers were kept in a buffer without limit.
TEST_CASE("a request without end closes its connection to the status server")
{
    const std::string chunked = "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    struct Case
    {
        std::string start;
        std::string endless;
    };
    const std::vector<Case> cases {
        {"", "x"},
        {"GET / HTTP/1.1\r\n", "X: y\r\n"},
        {"POST /x HTTP/1.1\r\nContent-Length: 100000000000\r\n\r\n", "x"},
        {chunked, "10\r\n0123456789abcdef\r\n"},
        {chunked, "0"},
        {chunked + "5;x=", "y"},
        {chunked + "0\r\n", "X: y\r\n"},
        {chunked, "1;x=" + std::string(4000, 'y') + "\r\nz\r\n"},
    };
    for (const auto &one : cases) {
        CAPTURE(one.start);
        CAPTURE(one.endless.substr(0, 30));
        asio::io_context io;
        const auto address = freeLoopbackAddress();
        StatusServer server(io, address, [](const std::string &) { return StatusReply {}; });
        REQUIRE(server.start());
        std::thread thread([&] { io.run(); });
        asio::io_context callerIo;
        tcp::socket socket(callerIo);
        socket.connect({asio::ip::make_address(address.ip), address.port});
        std::string piece = one.start;
        std::size_t written = 0;
        error_code ec;
        while (!ec && written < ScriptedEngine::maxEndlessBytes) {
            while (piece.size() < 16384) {
                piece += one.endless;
            }
            written += asio::write(socket, asio::buffer(piece), ec);
            piece.clear();
        }
        CHECK(ec);
        CHECK(written < std::size_t {32} * 1024 * 1024);
        io.stop();
        thread.join();
    }
}

// Each failure to accept led to the next one at once, so that a lack of descriptors used up the processor.
TEST_CASE("a status server that has no descriptor left tries again after a pause")
{
    asio::io_context io;
    const auto address = freeLoopbackAddress();
    StatusServer server(io, address, [](const std::string &) { return StatusReply {}; });
    REQUIRE(server.start());
    asio::io_context callerIo;
    tcp::socket socket(callerIo);
    socket.connect({asio::ip::make_address(address.ip), address.port});
    rlimit limits {};
    REQUIRE(getrlimit(RLIMIT_NOFILE, &limits) == 0);
    const auto saved = limits;
    limits.rlim_cur = 3; // the standard streams; descriptors that are open already stay so
    REQUIRE(setrlimit(RLIMIT_NOFILE, &limits) == 0);
    const auto n = io.run_for(50ms);
    REQUIRE(setrlimit(RLIMIT_NOFILE, &saved) == 0);
    CHECK(n < 10);
    asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\nConnection: close\r\n\r\n")));
    io.run_for(200ms);
    CHECK(socket.available() > 0);
}
