// Tests requests through a gateway over loopback sockets. Callers and engines are scripted byte by byte.
#include "gatewaycallers.h"
#include "gatewaytesting.h"

#include <doctest/doctest.h>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <atomic>
#include <thread>

using namespace monsoonward;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace
{

const std::string loopback = "127.0.0.1";

/// Reads one request or response with its headers, and its body if a Content-Length is given.
/// @param unread bytes received after the message; kept for the next call
/// @return the message, or empty if the connection was closed
std::string readMessage(tcp::socket &socket, std::string &unread)
{
    error_code ec;
    auto end = unread.find("\r\n\r\n");
    while (end == std::string::npos) {
        char buf[4096];
        const auto n = socket.read_some(asio::buffer(buf), ec);
        if (ec) {
            return "";
        }
        unread.append(buf, n);
        end = unread.find("\r\n\r\n");
    }
    const std::string key = "content-length: ";
    auto lower = unread.substr(0, end);
    std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char it) { return std::tolower(it); });
    const auto at = lower.find(key);
    const auto length = at == std::string::npos ? 0 : std::stoul(lower.substr(at + key.size()));
    while (unread.size() < end + 4 + length) {
        char buf[4096];
        const auto n = socket.read_some(asio::buffer(buf), ec);
        if (ec) {
            return "";
        }
        unread.append(buf, n);
    }
    auto message = unread.substr(0, end + 4 + length);
    unread.erase(0, end + 4 + length);
    return message;
}

/// @return the value of the header, or empty if it is missing
std::string header(const std::string &message, const std::string &name)
{
    const auto at = message.find("\r\n" + name + ": ");
    if (at == std::string::npos) {
        return "";
    }
    const auto begin = at + name.size() + 4;
    return message.substr(begin, message.find("\r\n", begin) - begin);
}

/// How a scripted engine responds to one request.
struct ScriptedResponse
{
    std::string bytes; ///< sent to the gateway
    bool closesConnection = false; ///< closes the connection after the bytes
    bool hangs = false; ///< after the bytes, waits until the gateway closes the connection
};

/// An engine whose responses the test scripts. Each connection has its own thread.
class ScriptedEngine
{
public:
    using Responder = std::function<ScriptedResponse(const std::string &request)>;

    explicit ScriptedEngine(Responder response)
        : m_responder(std::move(response))
        , m_acceptor(m_io, {asio::ip::make_address(loopback), 0})
        , m_thread([this] { run(); })
    {
    }
    ~ScriptedEngine()
    {
        m_stopping = true;
        error_code ignored;
        tcp::socket wakeUpSocket(m_io);
        wakeUpSocket.connect(m_acceptor.local_endpoint(), ignored);
        m_thread.join();
        for (auto &it : m_sockets) {
            it->shutdown(tcp::socket::shutdown_both, ignored); // the gateway holds idle connections open
        }
        for (auto &it : m_connections) {
            it.join();
        }
    }
    ScriptedEngine(const ScriptedEngine &) = delete;
    ScriptedEngine &operator=(const ScriptedEngine &) = delete;

    Address address() const
    {
        return {loopback, m_acceptor.local_endpoint().port()};
    }
    std::vector<std::string> requests() const
    {
        const std::lock_guard lock(m_mutex);
        return m_requests;
    }
    std::atomic<unsigned> disconnectsWhileHanging {0};

private:
    void run()
    {
        while (true) {
            tcp::socket socket(m_io);
            m_acceptor.accept(socket);
            if (m_stopping) {
                return;
            }
            const auto shared = std::make_shared<tcp::socket>(std::move(socket));
            m_sockets.push_back(shared);
            m_connections.emplace_back([this, shared] {
                serve(*shared);
                error_code ignored; // the gateway may have closed the connection already
                shared->shutdown(tcp::socket::shutdown_both, ignored);
            });
        }
    }

    void serve(tcp::socket &socket)
    {
        std::string unread;
        while (true) {
            const auto request = readMessage(socket, unread);
            if (request.empty()) {
                return;
            }
            {
                const std::lock_guard lock(m_mutex);
                m_requests.push_back(request);
            }
            const auto response = m_responder(request);
            error_code ec;
            asio::write(socket, asio::buffer(response.bytes), ec);
            if (response.hangs) {
                char byte = 0;
                socket.read_some(asio::buffer(&byte, 1), ec);
                disconnectsWhileHanging += ec ? 1 : 0;
                return;
            }
            if (response.closesConnection || ec) {
                return;
            }
        }
    }

    Responder m_responder;
    asio::io_context m_io;
    tcp::acceptor m_acceptor;
    mutable std::mutex m_mutex;
    std::vector<std::string> m_requests;
    std::vector<std::shared_ptr<tcp::socket>> m_sockets;
    std::vector<std::thread> m_connections;
    std::atomic<bool> m_stopping {false};
    std::thread m_thread;
};

std::string responseTo(const std::string &request, const std::string &body, const std::string &extra = "")
{
    return "HTTP/1.1 200 OK\r\nSeal: s\r\nRequest-Id: " + header(request, "Request-Id")
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + extra + "\r\n" + body;
}

std::string chunk(const std::string &bytes)
{
    char size[20];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

std::string streamHeader(const std::string &request)
{
    return "HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nRequest-Id: "
        + header(request, "Request-Id") + "\r\n\r\n";
}

std::string event(unsigned id)
{
    return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

GatewaySettings testSettings()
{
    GatewaySettings settings;
    settings.host = HostName("g");
    settings.callerListen = freeLoopbackAddress();
    settings.maxMemoryMegabytes = 128;
    settings.maxDescriptors = 1024;
    settings.freshness = {1min, 1min};
    settings.logLevel = "error";
    settings.logKilobytesPerSecond = 100;
    return settings;
}

/// A steady clock that the test can advance, as after a pause of the process.
class JumpingClock : public Clock
{
public:
    TimePoint now() const override
    {
        return m_clock.now() + Duration(m_offset.load());
    }
    void jump(Duration duration)
    {
        m_offset += duration.count();
    }

private:
    SteadyClock m_clock;
    std::atomic<Duration::rep> m_offset {0};
};

/// Places requests like the wrapped placer and calls a hook between the choice of an engine and the send.
class HookedPlacer : public Placer
{
public:
    HookedPlacer(std::unique_ptr<Placer> placer, const std::function<void()> &afterPlacement)
        : m_placer(std::move(placer))
        , m_afterPlacement(afterPlacement)
    {
    }
    Placement place(const PlacementRequest &request, TimePoint now) override
    {
        return m_placer->place(request, now);
    }
    void requestSent(const EngineName &engine, TimePoint now) override
    {
        m_placer->requestSent(engine, now);
        if (m_afterPlacement) {
            m_afterPlacement();
        }
    }
    void firstBytesReceived(const EngineRecord &engine, double load, Duration length, TimePoint now) override
    {
        m_placer->firstBytesReceived(engine, load, length, now);
    }
    void requestEnded(const EngineName &engine) override
    {
        m_placer->requestEnded(engine);
    }
    void forget(const EngineName &engine) override
    {
        m_placer->forget(engine);
    }
    void loadReported(TimePoint now) override
    {
        m_placer->loadReported(now);
    }
    const std::map<EngineName, std::uint32_t> &ownRequests() const override
    {
        return m_placer->ownRequests();
    }

private:
    std::unique_ptr<Placer> m_placer;
    const std::function<void()> &m_afterPlacement;
};

/// A gateway without a store, with one customer and one route for each kind of repeatability.
class Fixture
{
public:
    ~Fixture()
    {
        m_io.stop();
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

    void addEngine(const std::string &name, const Address &address)
    {
        EngineRecord engine;
        engine.name = EngineName(name);
        engine.service = ServiceName("s");
        engine.address = address;
        engine.slots = 5;
        m_core.engines.put(engine);
    }

    void start()
    {
        ServingConfiguration configuration;
        configuration.revision = 1;
        configuration.routes = {route("/once/", Repeatability::Once, false),
                                route("/safe/", Repeatability::Repeatable, false),
                                route("/stream/", Repeatability::Resumable, true)};
        CustomerConfiguration customer;
        customer.name = CustomerName("c");
        customer.keys = {"k"};
        configuration.customers = {customer};
        configuration.limits.maxHeaderBytes = 2000;
        configuration.limits.maxBodyBytes = 5000;
        m_core.activeConfiguration =
            std::make_shared<const ActiveConfiguration>(std::make_shared<const ServingConfiguration>(configuration), 1);
        m_core.freshness.recordProof(m_clock.now());
        m_core.placer = std::make_unique<HookedPlacer>(std::move(m_core.placer), afterPlacement);
        REQUIRE(m_listener.listen());
        m_listener.startAccepting();
        m_thread = std::thread([this] { m_io.run(); });
    }

    /// Sends bytes on a new connection and reads until the gateway closes it.
    std::string exchange(const std::string &bytes)
    {
        tcp::socket socket(m_callerIo);
        connect(socket);
        asio::write(socket, asio::buffer(bytes));
        return readAll(socket);
    }

    void connect(tcp::socket &socket) const
    {
        const auto &address = m_core.settings.callerListen;
        socket.connect({asio::ip::make_address(address.ip), address.port});
    }

    static std::string readAll(tcp::socket &socket)
    {
        std::string all;
        error_code ec;
        while (!ec) {
            char buf[4096];
            const auto n = socket.read_some(asio::buffer(buf), ec);
            all.append(buf, n);
        }
        return all;
    }

    static std::string request(const std::string &path, const std::string &extra = "", const std::string &body = "")
    {
        return "POST " + path + " HTTP/1.1\r\nHost: h\r\nKey: k\r\nRequest-Id: id1\r\nTime-Left: 3000\r\n" + extra
            + "Connection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    std::function<void()> afterPlacement; ///< called between the choice of an engine and the send

protected:
    static Route route(const std::string &prefix, Repeatability repeatability, bool isStream)
    {
        Route it;
        it.name = prefix;
        it.host = "h";
        it.prefix = prefix;
        it.services = {{ServiceName("s"), 1}};
        it.repeatability = repeatability;
        it.isStream = isStream;
        it.timeLimit = 4s;
        it.maxAttempts = 2;
        return it;
    }

    asio::io_context m_io {1};
    asio::io_context m_callerIo;
    JumpingClock m_clock;
    TestAdapter m_adapter;
    GatewayMetrics m_metrics;
    StructuredLog m_log {LogLimits {"error", 1000, 1000}, HostName("g"), 1};
    GatewayCore m_core {m_io, m_clock, testSettings(), m_adapter, m_log, m_metrics};
    GatewayCallerService m_callers {m_core};
    CallerListener m_listener {m_io, m_core.clock, m_callers, m_core.settings.callerListen, 100};
    std::thread m_thread;
};

unsigned statusOf(const std::string &response)
{
    return response.size() < 12 ? 0 : static_cast<unsigned>(std::stoul(response.substr(9, 3)));
}

std::string bodyOf(const std::string &response)
{
    const auto end = response.find("\r\n\r\n");
    return end == std::string::npos ? "" : response.substr(end + 4);
}

} // namespace

TEST_CASE_FIXTURE(Fixture, "a request is forwarded unchanged except for the headers that the gateway sets or removes")
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

TEST_CASE_FIXTURE(Fixture, "malformed, oversized and unauthorized requests never reach an engine")
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

TEST_CASE_FIXTURE(Fixture, "a chunked body is forwarded with its length, after 100 Continue")
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

TEST_CASE_FIXTURE(Fixture, "a request that must not be repeated is reported as not executed only if the engine says so")
{
    std::atomic<unsigned> calls {0};
    ScriptedEngine engine([&](const std::string &it) -> ScriptedResponse {
        switch (calls++) {
        case 0: // the engine closes the connection without a response
            return {"", true};
        case 1: // a success without the engine marker header
            return {"HTTP/1.1 200 OK\r\nRequest-Id: id1\r\nContent-Length: 0\r\n\r\n"};
        case 2: // a 503 that does not say whether the request ran
            return {"HTTP/1.1 503 Busy\r\nSeal: s\r\nRequest-Id: id1\r\nContent-Length: 0\r\n\r\n"};
        case 3: // a truncated response
            return {responseTo(it, "whole").substr(0, responseTo(it, "whole").size() - 1), true};
        default:
            return {"HTTP/1.1 503 Full\r\nNot-Run: 1\r\nRequest-Id: id1\r\nContent-Length: 0\r\n\r\n"};
        }
    });
    addEngine("e1", engine.address());
    start();
    for (unsigned n = 0; n < 4; ++n) {
        m_core.health.recordSuccess(EngineName("e1"));
        const auto response = exchange(request("/once/"));
        CHECK(statusOf(response) == 502);
        CHECK(header(response, "Seal").empty());
        CHECK(header(response, "Monsoonward-Verdict") == "may-have-run");
    }
    m_core.health.recordSuccess(EngineName("e1"));
    const auto refused = exchange(request("/once/"));
    CHECK(statusOf(refused) == 503);
    CHECK(header(refused, "Monsoonward-Verdict") == "not-run");
    CHECK_FALSE(header(refused, "Retry-After").empty());
}

TEST_CASE_FIXTURE(Fixture,
                  "a repeatable request is retried on another engine, and failed connects don't use up its attempts")
{
    ScriptedEngine broken([](const std::string & /*request*/) { return ScriptedResponse {"", true}; });
    ScriptedEngine working([](const std::string &it) { return ScriptedResponse {responseTo(it, "ok")}; });
    addEngine("a", freeLoopbackAddress());
    addEngine("b", broken.address());
    addEngine("c", working.address());
    m_core.settings.retryBudget = {10, 1000, 10s};
    m_core.retryBudget = RetryBudgetShare({10, 1000, 10s}, m_clock.now() - 1h);
    start();
    for (unsigned n = 0; n < 4; ++n) {
        CHECK(bodyOf(exchange(request("/safe/"))) == "ok");
    }
}

TEST_CASE_FIXTURE(Fixture, "a stale response on a reused connection is discarded")
{
    std::atomic<unsigned> calls {0};
    ScriptedEngine engine([&](const std::string &it) -> ScriptedResponse {
        if (calls++ == 0) {
            return {responseTo(it, "first")};
        }
        const std::string stale = "HTTP/1.1 200 OK\r\nSeal: s\r\nRequest-Id: other\r\nContent-Length: 5\r\n\r\nstale";
        return {stale + responseTo(it, "own")};
    });
    addEngine("e1", engine.address());
    start();
    CHECK(bodyOf(exchange(request("/once/"))) == "first");
    CHECK(bodyOf(exchange(request("/once/"))) == "own");
}

TEST_CASE_FIXTURE(Fixture, "a rejection without a request ID on a reused connection may belong to an earlier request")
{
    std::atomic<unsigned> calls {0};
    ScriptedEngine engine([&](const std::string &it) -> ScriptedResponse {
        if (calls++ == 0) {
            return {responseTo(it, "first")};
        }
        return {"HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n" + responseTo(it, "own")};
    });
    addEngine("e1", engine.address());
    start();
    CHECK(bodyOf(exchange(request("/once/"))) == "first");
    const auto response = exchange(request("/once/"));
    CHECK(statusOf(response) == 502);
    CHECK(header(response, "Monsoonward-Verdict") == "may-have-run");
}

TEST_CASE_FIXTURE(Fixture, "a request placed before its process was paused is not sent with an outdated permission")
{
    ScriptedEngine engine([](const std::string &it) { return ScriptedResponse {responseTo(it, "ok")}; });
    addEngine("a", engine.address());
    afterPlacement = [this] { m_clock.jump(2min); };
    start();
    const auto response = exchange(request("/once/"));
    CHECK(statusOf(response) == 503);
    CHECK(header(response, "Monsoonward-Verdict") == "not-run");
    CHECK(engine.requests().empty());
}

TEST_CASE_FIXTURE(Fixture, "an engine whose answer says that it is leaving gets no further requests")
{
    ScriptedEngine engine(
        [](const std::string &it) { return ScriptedResponse {responseTo(it, "ok", "Leaving: 1\r\n")}; });
    addEngine("a", engine.address());
    start();
    CHECK(statusOf(exchange(request("/once/"))) == 200);
    const auto refused = exchange(request("/once/"));
    CHECK(statusOf(refused) == 503);
    CHECK(header(refused, "Monsoonward-Verdict") == "not-run");
    CHECK_FALSE(header(refused, "Retry-After").empty());
    CHECK(engine.requests().size() == 1);
}

TEST_CASE_FIXTURE(Fixture, "an engine that has left while a connection to it was opened gets no request")
{
    ScriptedEngine engine([](const std::string &it) { return ScriptedResponse {responseTo(it, "ok")}; });
    addEngine("a", engine.address());
    afterPlacement = [this] { m_core.engines.markLeaving(EngineName("a")); };
    start();
    CHECK(statusOf(exchange(request("/once/"))) == 503);
    CHECK(engine.requests().empty());
}

TEST_CASE_FIXTURE(Fixture, "an engine that rejects a request with a pause is spared, and callers learn when to return")
{
    struct Case
    {
        std::string value;
        bool isPause = false;
    };
    for (const auto &one :
         std::vector<Case> {{"0.8", true}, {"7", true}, {"1e300", true}, {"-1", false}, {"soon", false}, {"", false}}) {
        CAPTURE(one.value);
        Fixture fixture;
        ScriptedEngine engine([&one](const std::string &it) -> ScriptedResponse {
            return {"HTTP/1.1 503 Full\r\nNot-Run: 1\r\nRetry-After: " + one.value
                    + "\r\nRequest-Id: " + header(it, "Request-Id") + "\r\nContent-Length: 0\r\n\r\n"};
        });
        fixture.addEngine("a", engine.address());
        fixture.start();
        CHECK(statusOf(fixture.exchange(request("/once/"))) == 503);
        const auto refused = fixture.exchange(request("/once/"));
        CHECK(statusOf(refused) == 503);
        CHECK(engine.requests().size() == (one.isPause ? 1 : 2));
        CHECK(std::stod(header(refused, "Retry-After")) >= (one.isPause ? 0.5 : 0.1));
        CHECK(std::stod(header(refused, "Retry-After")) <= 1.0); // a third of the time that the caller has left
    }
}

TEST_CASE_FIXTURE(Fixture, "a time limit beyond all bounds counts as the route's")
{
    ScriptedEngine engine([](const std::string &it) { return ScriptedResponse {responseTo(it, "ok")}; });
    addEngine("a", engine.address());
    start();
    auto huge = request("/safe/");
    huge.replace(huge.find("Time-Left: 3000"), 15, "Time-Left: 1e300");
    CHECK(statusOf(exchange(huge)) == 200);
}

TEST_CASE_FIXTURE(Fixture, "events are streamed, and a stream that breaks off is resumed on another engine")
{
    const auto response = [](const std::string &it) -> ScriptedResponse {
        if (header(it, "Last-Event-Id").empty()) {
            return {streamHeader(it) + chunk(event(1)) + chunk(event(2) + "id: 3\nda"), true};
        }
        return {streamHeader(it) + chunk(event(3)) + chunk(event(4)) + "0\r\n\r\n"};
    };
    ScriptedEngine first(response);
    ScriptedEngine second(response);
    addEngine("a", first.address());
    addEngine("b", second.address());
    m_core.retryBudget = RetryBudgetShare({1, 1000, 10s}, m_clock.now() - 1h);
    start();
    const auto received = exchange(request("/stream/"));
    std::string events;
    for (unsigned n = 1; n <= 4; ++n) {
        const auto at = received.find(event(n));
        REQUIRE(at != std::string::npos);
        CHECK(received.find(event(n), at + 1) == std::string::npos);
    }
    CHECK(received.substr(received.size() - 5) == "0\r\n\r\n");
    const auto resumed = first.requests().empty() || header(first.requests().back(), "Last-Event-Id").empty()
        ? second.requests()
        : first.requests();
    CHECK(header(resumed.back(), "Last-Event-Id") == "2");
}

TEST_CASE_FIXTURE(Fixture, "a response too large to be held is not shortened")
{
    const std::string body(std::size_t {9} * 1024 * 1024, 'x');
    ScriptedEngine engine([&](const std::string &it) { return ScriptedResponse {responseTo(it, body)}; });
    addEngine("a", engine.address());
    start();
    CHECK(statusOf(exchange(request("/once/"))) == 502);
}

TEST_CASE_FIXTURE(Fixture, "a stream that can't be resumed never looks complete")
{
    ScriptedEngine engine([](const std::string &it) {
        return ScriptedResponse {streamHeader(it) + chunk(event(1)) + chunk("id: 2\nda"), true};
    });
    addEngine("a", engine.address());
    start();
    const auto received = exchange(request("/stream/"));
    CHECK(received.find(event(1)) != std::string::npos);
    CHECK(received.find("id: 2") == std::string::npos);
    CHECK(received.find("\r\n0\r\n") == std::string::npos);
}

TEST_CASE_FIXTURE(Fixture, "a stream that ends inside an event does not look complete")
{
    ScriptedEngine engine([](const std::string &it) {
        return ScriptedResponse {streamHeader(it) + chunk(event(1) + "id: 2\nda") + "0\r\n\r\n"};
    });
    addEngine("a", engine.address());
    start();
    const auto received = exchange(request("/stream/"));
    CHECK(received.find(event(1)) != std::string::npos);
    CHECK(received.find("\r\n0\r\n") == std::string::npos);
}

TEST_CASE_FIXTURE(Fixture, "an idle connection is closed cleanly, so that a request in transit does not cause a reset")
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
    asio::post(m_io, [this] { m_listener.closeIdleConnections(); });
    std::this_thread::sleep_for(20ms);
    asio::write(socket, asio::buffer(keepAliveRequest)); // sent before the caller sees the close
    char byte = 0;
    error_code ec;
    socket.read_some(asio::buffer(&byte, 1), ec);
    CHECK(ec == asio::error::eof);
    CHECK(engine.requests().size() == 1);
}

TEST_CASE_FIXTURE(Fixture, "a caller's disconnect cancels its request at the engine")
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

TEST_CASE_FIXTURE(Fixture, "requests are refused while the configuration may be out of date")
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

TEST_CASE_FIXTURE(Fixture, "a gateway that stops takes late requests only if they end before it cuts what is left")
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
