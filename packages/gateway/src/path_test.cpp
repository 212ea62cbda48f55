// Tests requests through a gateway: what is forwarded, refused and cancelled.
#include "gatewayfixture.h"

#include <boost/asio/post.hpp>

using namespace monsoonward;
using namespace std::chrono_literals;

TEST_CASE_FIXTURE(GatewayFixture,
                  "a request is forwarded unchanged except for the headers that the gateway sets or removes")
{
    ScriptedEngine engine(
        [](const std::string &it) { return ScriptedResponse {responseTo(it, "hello", "X-Own: 1\r\n")}; });
    addEngine("e1", engine.address());
    start();
    const auto response =
        exchange(request("/safe/x?y=1", "Customer: forged\r\nReserved: 1\r\nX-More: 2\r\n", "the body"));
    CHECK(statusOf(response) == 200);
    CHECK(bodyOf(response) == "hello");
    CHECK(header(response, "Seal") == "s");
    CHECK(header(response, "X-Own") == "1");
    REQUIRE(engine.requests().size() == 1);
    const auto forwarded = engine.requests().front();
    CHECK(forwarded.rfind("POST /safe/x?y=1 HTTP/1.1\r\n", 0) == 0);
    CHECK(bodyOf(forwarded) == "the body");
    CHECK(header(forwarded, "Customer") == "c");
    CHECK(header(forwarded, "Engine") == "e1");
    CHECK(header(forwarded, "X-More") == "2");
    CHECK(header(forwarded, "Key").empty());
    CHECK(header(forwarded, "Reserved").empty());
    CHECK(std::stoul(header(forwarded, "Time-Left")) <= 3000);
    CHECK(std::stoul(header(forwarded, "Time-Left")) > 2000);
}

TEST_CASE_FIXTURE(GatewayFixture, "malformed, oversized and unauthorized requests never reach an engine")
{
    ScriptedEngine engine([](const std::string &it) { return ScriptedResponse {responseTo(it, "")}; });
    addEngine("e1", engine.address());
    start();
    CHECK(statusOf(exchange("no request\r\n\r\n")) == 400);
    CHECK(
        statusOf(exchange("POST /safe/ HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"))
        == 400);
    CHECK(statusOf(exchange(request("/safe/", "X-Long: " + std::string(3000, 'x') + "\r\n"))) == 431);
    CHECK(statusOf(exchange(request("/safe/", "", std::string(6000, 'x')))) == 413);
    CHECK(statusOf(exchange(request("/nowhere/"))) == 404);
    auto unknownKey = request("/safe/");
    unknownKey.replace(unknownKey.find("Key: k"), 6, "Key: z");
    CHECK(statusOf(exchange(unknownKey)) == 401);
    CHECK(engine.requests().empty());
}

TEST_CASE_FIXTURE(GatewayFixture, "a chunked body is forwarded with its length, after 100 Continue")
{
    ScriptedEngine engine([](const std::string &it) { return ScriptedResponse {responseTo(it, "ok")}; });
    addEngine("e1", engine.address());
    start();
    const auto response = exchange(
        "POST /safe/ HTTP/1.1\r\nHost: h\r\nKey: k\r\nRequest-Id: id1\r\nExpect: 100-continue\r\nConnection: close\r\n"
        "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    CHECK(response.rfind("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200", 0) == 0);
    REQUIRE(engine.requests().size() == 1);
    CHECK(bodyOf(engine.requests().front()) == "abcde");
}

TEST_CASE_FIXTURE(GatewayFixture, "a time limit beyond all bounds counts as the route's")
{
    ScriptedEngine engine([](const std::string &it) { return ScriptedResponse {responseTo(it, "ok")}; });
    addEngine("a", engine.address());
    start();
    auto huge = request("/safe/");
    huge.replace(huge.find("Time-Left: 3000"), 15, "Time-Left: 1e300");
    CHECK(statusOf(exchange(huge)) == 200);
}

TEST_CASE_FIXTURE(GatewayFixture,
                  "a request in transit when its idle connection is closed is reset, so that it counts as not read")
{
    ScriptedEngine engine([](const std::string &it) { return ScriptedResponse {responseTo(it, "ok")}; });
    addEngine("a", engine.address());
    start();
    tcp::socket socket(m_callerIo);
    connect(socket);
    auto keepAliveRequest = request("/safe/");
    keepAliveRequest.replace(keepAliveRequest.find("Connection: close\r\n"), 19, "");
    asio::write(socket, asio::buffer(keepAliveRequest));
    std::string unread;
    CHECK(statusOf(readMessage(socket, unread)) == 200);
    std::this_thread::sleep_for(20ms);
    asio::post(m_io, [this] { m_listener->closeIdleConnections(0ms); });
    std::this_thread::sleep_for(20ms);
    asio::write(socket, asio::buffer(keepAliveRequest)); // sent before the caller sees the close
    std::this_thread::sleep_for(20ms);
    error_code ec;
    asio::write(socket, asio::buffer(keepAliveRequest), ec);
    CHECK((ec == asio::error::broken_pipe || ec == asio::error::connection_reset));
    CHECK(engine.requests().size() == 1);
}

TEST_CASE_FIXTURE(GatewayFixture, "a caller's disconnect cancels its request at the engine")
{
    ScriptedEngine engine([](const std::string &it) {
        return ScriptedResponse {streamHeader(it) + chunk(event(1)), false, true};
    });
    addEngine("a", engine.address());
    start();
    {
        tcp::socket socket(m_callerIo);
        connect(socket);
        asio::write(socket, asio::buffer(request("/stream/")));
        std::string unread;
        CHECK(statusOf(readMessage(socket, unread)) == 200);
    }
    const auto deadline = std::chrono::steady_clock::now() + 500ms;
    while (engine.disconnectsWhileHanging == 0 && std::chrono::steady_clock::now() < deadline) {
        std::this_thread::sleep_for(5ms);
    }
    CHECK(engine.disconnectsWhileHanging == 1);
}

TEST_CASE_FIXTURE(GatewayFixture, "requests are refused while the configuration may be out of date")
{
    ScriptedEngine engine([](const std::string &it) { return ScriptedResponse {responseTo(it, "ok")}; });
    addEngine("a", engine.address());
    m_core.freshness = Freshness({0ms, 0ms});
    start();
    const auto response = exchange(request("/safe/"));
    CHECK(statusOf(response) == 503);
    CHECK(statusOf(exchange(request("/nowhere/"))) == 503);
    CHECK(engine.requests().empty());
}

TEST_CASE_FIXTURE(GatewayFixture,
                  "a gateway that stops takes late requests only if they end before it cuts what is left")
{
    ScriptedEngine engine([](const std::string &it) { return ScriptedResponse {responseTo(it, "ok")}; });
    addEngine("a", engine.address());
    m_core.isStopping = true;
    m_core.lateRequestsFrom = m_clock.now();
    m_core.abortAt = m_clock.now() + 2s;
    start();
    const auto refused = exchange(request("/safe/"));
    CHECK(statusOf(refused) == 503);
    CHECK(header(refused, "Monsoonward-Verdict") == "not-run");
    CHECK(header(refused, "Connection") == "close");
    CHECK(engine.requests().empty());
    auto shortRequest = request("/safe/");
    shortRequest.replace(shortRequest.find("Time-Left: 3000"), 15, "Time-Left: 500");
    CHECK(statusOf(exchange(shortRequest)) == 200);
}

// In a grace period that ends before late requests are looked at, a request was sent to an engine and then cut.
TEST_CASE_FIXTURE(GatewayFixture, "a gateway that has ended its requests takes no further ones")
{
    ScriptedEngine engine([](const std::string &it) { return ScriptedResponse {responseTo(it, "ok")}; });
    addEngine("a", engine.address());
    m_core.isStopping = true;
    m_core.abortAt = m_clock.now();
    m_core.lateRequestsFrom = m_clock.now() + 2s;
    start();
    CHECK(statusOf(exchange(request("/safe/"))) == 503);
    CHECK(engine.requests().empty());
}
