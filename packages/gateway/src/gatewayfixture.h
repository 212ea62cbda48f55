#pragma once

#include "gatewaycallers.h"
#include "gatewaytesting.h"

#include <doctest/doctest.h>

#include <boost/asio/write.hpp>

#include <atomic>
#include <cctype>
#include <cstdio>
#include <mutex>
#include <thread>

// A gateway over loopback sockets whose callers and engines are scripted byte by byte, for tests of requests.

namespace monsoonward
{

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

inline const std::string loopback = "127.0.0.1";

/// Waits for a condition that another thread meets, for 3 s at most.
/// @return whether it was met
inline bool eventually(const std::function<bool()> &condition)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(3);
    while (!condition() && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return condition();
}

/// Reads one request or response with its headers, and its body if a Content-Length is given.
/// @param unread bytes received after the message; kept for the next call
/// @param hasBody false to return after the headers
/// @return the message, or empty if the connection was closed
inline std::string readMessage(tcp::socket &socket, std::string &unread, bool hasBody = true)
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
    const auto length = at == std::string::npos || !hasBody ? 0 : std::stoul(lower.substr(at + key.size()));
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
inline std::string header(const std::string &message, const std::string &name)
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
    bool resets = false; ///< ends the connection with a reset after the bytes
    std::string endless {}; ///< sent after the bytes again and again, until the gateway closes the connection
    std::string slowPiece {}; ///< sent after the bytes, with a pause after each time
    Duration slowPause {};
    unsigned slowCount = 0; ///< how often slowPiece is sent
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
    std::atomic<unsigned> connections {0}; ///< accepted so far
    std::atomic<bool> ignoresBodies {false}; ///< responds to the headers of a request and reads no body
    std::atomic<unsigned> disconnectsWhileHanging {0};
    std::atomic<unsigned> disconnectsWhileEndless {0}; ///< the gateway closed the connection during endless bytes
    std::atomic<std::size_t> endlessBytes {0}; ///< written so far, at most maxEndlessBytes for one connection
    static constexpr std::size_t maxEndlessBytes = std::size_t {64} * 1024 * 1024;

private:
    void run()
    {
        while (true) {
            tcp::socket socket(m_io);
            m_acceptor.accept(socket);
            if (m_stopping) {
                return;
            }
            ++connections;
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
            const auto request = readMessage(socket, unread, !ignoresBodies);
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
            for (unsigned n = 0; n < response.slowCount && !ec; ++n) {
                asio::write(socket, asio::buffer(response.slowPiece), ec);
                pauseUnlessStopping(response.slowPause);
            }
            if (response.hangs) {
                char byte = 0;
                socket.read_some(asio::buffer(&byte, 1), ec);
                disconnectsWhileHanging += ec ? 1 : 0;
                return;
            }
            if (response.resets) {
                std::this_thread::sleep_for(std::chrono::milliseconds(50)); // until the gateway waits for more
                socket.set_option(asio::socket_base::linger(true, 0), ec);
                socket.close(ec);
                return;
            }
            if (!response.endless.empty()) {
                writeEndless(socket, response.endless);
                return;
            }
            if (response.closesConnection || ec) {
                return;
            }
        }
    }

    void pauseUnlessStopping(Duration length)
    {
        const auto end = std::chrono::steady_clock::now() + length;
        while (!m_stopping && std::chrono::steady_clock::now() < end) {
            std::this_thread::sleep_for(std::min<Duration>(length, std::chrono::milliseconds(10)));
        }
    }

    void writeEndless(tcp::socket &socket, const std::string &text)
    {
        constexpr std::size_t pieceBytes = 16384;
        std::string piece;
        while (piece.size() < pieceBytes) {
            piece += text;
        }
        error_code ec;
        for (std::size_t written = 0; !ec && written < maxEndlessBytes; written += piece.size()) {
            endlessBytes += asio::write(socket, asio::buffer(piece), ec);
        }
        disconnectsWhileEndless += ec ? 1 : 0;
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

inline std::string responseTo(const std::string &request, const std::string &body, const std::string &extra = "")
{
    return "HTTP/1.1 200 OK\r\nSeal: s\r\nRequest-Id: " + header(request, "Request-Id")
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + extra + "\r\n" + body;
}

inline std::string chunk(const std::string &bytes)
{
    char size[20];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

inline std::string streamHeader(const std::string &request)
{
    return "HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nRequest-Id: "
        + header(request, "Request-Id") + "\r\n\r\n";
}

inline std::string event(unsigned id)
{
    return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

inline GatewaySettings testSettings()
{
    GatewaySettings settings;
    settings.host = HostName("g");
    settings.callerListen = freeLoopbackAddress();
    settings.maxMemoryMegabytes = 128;
    settings.maxDescriptors = 1024;
    settings.freshness = {std::chrono::minutes(1), std::chrono::minutes(1)};
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
    std::map<ServiceName, double> demand(TimePoint now) const override
    {
        return m_placer->demand(now);
    }
    const std::map<EngineName, std::uint32_t> &ownRequests() const override
    {
        return m_placer->ownRequests();
    }

private:
    std::unique_ptr<Placer> m_placer;
    const std::function<void()> &m_afterPlacement;
};

/// Registrations that are always read as of now, unless the test makes the store unavailable.
class CurrentRegistrations : public RegistrationReader
{
public:
    explicit CurrentRegistrations(GatewayCore &core)
        : m_core(core)
    {
        m_core.registrations = this;
    }
    void readNow(std::function<void()> done) override
    {
        m_core.engines.registrationsRead(m_core.clock.now());
        asio::post(m_core.io, std::move(done));
    }

private:
    GatewayCore &m_core;
};

/// A gateway without a store, with one customer and one route for each kind of repeatability.
class GatewayFixture
{
public:
    ~GatewayFixture()
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

    void allowRetries()
    {
        m_core.settings.retryBudget = {10, 1000, std::chrono::seconds(10)};
        m_core.retryBudget = RetryBudgetShare(m_core.settings.retryBudget, m_clock.now() - std::chrono::hours(1));
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
        configuration.limits.maxBodyBytes = m_maxBodyBytes;
        m_core.activeConfiguration =
            std::make_shared<const ActiveConfiguration>(std::make_shared<const ServingConfiguration>(configuration), 1);
        m_core.freshness.recordProof(m_clock.now());
        m_core.placer = std::make_unique<HookedPlacer>(std::move(m_core.placer), afterPlacement);
        bool isListening = bool(m_listener->listen());
        for (unsigned n = 0; n < 20 && !isListening; ++n) { // another process may have taken the port meanwhile
            m_core.settings.callerListen = freeLoopbackAddress();
            m_listener.emplace(m_io, m_core.clock, m_callers, m_core.settings.callerListen, maxConnections);
            isListening = bool(m_listener->listen());
        }
        REQUIRE(isListening);
        m_listener->startAccepting();
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

    static std::string request(const std::string &path,
                               const std::string &extra = "",
                               const std::string &body = "",
                               const std::string &id = "id1")
    {
        return "POST " + path + " HTTP/1.1\r\nHost: h\r\nKey: k\r\nRequest-Id: " + id + "\r\nTime-Left: 3000\r\n"
            + extra + "Connection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    std::function<void()> afterPlacement; ///< called between the choice of an engine and the send

protected:
    Route route(const std::string &prefix, Repeatability repeatability, bool isStream) const
    {
        Route it;
        it.name = prefix;
        it.host = "h";
        it.prefix = prefix;
        it.services = {{ServiceName("s"), 1}};
        it.repeatability = repeatability;
        it.isStream = isStream;
        it.timeLimit = std::chrono::seconds(4);
        it.maxAttempts = m_maxAttempts;
        return it;
    }

    static constexpr std::size_t maxConnections = 100;
    std::size_t m_maxBodyBytes = 5000;
    std::uint32_t m_maxAttempts = 2;
    asio::io_context m_io {1};
    asio::io_context m_callerIo;
    JumpingClock m_clock;
    TestAdapter m_adapter;
    GatewayMetrics m_metrics;
    StructuredLog m_log {LogLimits {"error", 1000, 1000}, HostName("g"), 1};
    GatewayCore m_core {m_io, m_clock, testSettings(), m_adapter, m_log, m_metrics};
    CurrentRegistrations m_registrations {m_core};
    GatewayCallerService m_callers {m_core};
    std::optional<CallerListener> m_listener {
        std::in_place, m_io, m_core.clock, m_callers, m_core.settings.callerListen, maxConnections};
    std::thread m_thread;
};

inline unsigned statusOf(const std::string &response)
{
    return response.size() < 12 ? 0 : static_cast<unsigned>(std::stoul(response.substr(9, 3)));
}

inline std::string bodyOf(const std::string &response)
{
    const auto end = response.find("\r\n\r\n");
    return end == std::string::npos ? "" : response.substr(end + 4);
}
} // namespace monsoonward
