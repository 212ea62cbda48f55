// Tests a whole gateway process over loopback sockets, with its store in memory.
#include "gatewaytesting.h"

#include <doctest/doctest.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <thread>

using namespace monsoonward;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

constexpr const char *loopback = "127.0.0.1";

/// A store that lists one row and never reports a change.
class SingleRowStore : public RowStore
{
public:
    explicit SingleRowStore(asio::io_context &io)
        : m_io(io)
    {
    }
    bool isReceiving() const override
    {
        return false;
    }
    void cancel() override
    {
    }
    void list(const std::string & /*table*/, const std::string & /*from*/, PageCallback done) override
    {
        asio::post(m_io, [done = std::move(done)] { done(RowPage {{{"row", "value", 1}}, 1, false}); });
    }
    void follow(const std::string & /*table*/, std::uint64_t version, Duration wait, PageCallback done) override
    {
        if (wait == Duration::zero()) {
            asio::post(m_io, [done = std::move(done), version] { done(RowPage {{}, version, false}); });
        }
    }
    void write(const std::string & /*table*/,
               const TableRow & /*row*/,
               std::optional<std::uint64_t> /*expectedVersion*/,
               WriteCallback done) override
    {
        asio::post(m_io, [done = std::move(done)] { done(boost::outcome_v2::success()); });
    }

private:
    asio::io_context &m_io;
};

/// Every row of the store is the configuration with one route, or the one engine.
class SingleEngineAdapter : public TestAdapter
{
public:
    explicit SingleEngineAdapter(Address engine)
        : m_engine(std::move(engine))
    {
    }
    Result<ServingConfiguration> decodeConfiguration(const std::string & /*text*/) const override
    {
        Route route;
        route.host = "h";
        route.prefix = "/";
        route.services = {{ServiceName("s"), 1}};
        route.timeLimit = 20s;
        route.maxAttempts = 1;
        ServingConfiguration configuration;
        configuration.revision = 1;
        configuration.routes = {route};
        return configuration;
    }
    Result<EngineRecord> decodeEngine(const std::string &key, const std::string & /*text*/) const override
    {
        EngineRecord engine;
        engine.name = EngineName(key);
        engine.service = ServiceName("s");
        engine.address = m_engine;
        return engine;
    }
    std::unique_ptr<RowStore> makeRowStore(asio::io_context &io, const Address & /*store*/) const override
    {
        return std::make_unique<SingleRowStore>(io);
    }

private:
    Address m_engine;
};

std::string textOf(const Address &address)
{
    return address.ip + ":" + std::to_string(address.port);
}

/// Writes a settings file that is deleted at the end of the scope.
class TemporaryFile
{
public:
    explicit TemporaryFile(const std::string &text)
    {
        const int handle = mkstemp(m_path.data()); // replaces the X's
        REQUIRE(handle >= 0);
        close(handle);
        std::ofstream(m_path) << text;
    }
    ~TemporaryFile()
    {
        std::remove(m_path.c_str());
    }
    TemporaryFile(const TemporaryFile &) = delete;
    TemporaryFile &operator=(const TemporaryFile &) = delete;

    const std::string &path() const
    {
        return m_path;
    }

private:
    std::string m_path = "/tmp/monsoonward-test-XXXXXX";
};

/// Connects as soon as the gateway listens, which must happen within a few seconds.
tcp::socket connectTo(asio::io_context &io, const Address &address)
{
    const auto giveUpAt = std::chrono::steady_clock::now() + 5s;
    while (true) {
        tcp::socket socket(io);
        boost::system::error_code ec;
        socket.connect({asio::ip::make_address(address.ip), address.port}, ec);
        if (!ec || std::chrono::steady_clock::now() > giveUpAt) {
            REQUIRE_FALSE(ec);
            return socket;
        }
        std::this_thread::sleep_for(10ms);
    }
}

} // namespace

TEST_CASE("a gateway that is stopped with requests in progress answers them in time and ends cleanly")
{
    asio::io_context io;
    tcp::acceptor engine(io, {asio::ip::make_address(loopback), 0}); // accepts connections and never responds
    const auto callers = freeLoopbackAddress();
    const TemporaryFile settings(
        "[daemon]\nrole = gateway\nhost = g\ndata-centre = a\nregions = a: r\ngrace = 1 s\n[callers]\nlisten = "
        + textOf(callers) + "\n[health]\nlisten = " + textOf(freeLoopbackAddress())
        + "\n[admin]\nlisten = " + textOf(freeLoopbackAddress()) + "\n[peer]\nlisten = " + textOf(freeLoopbackAddress())
        + "\n[store]\naddress = 127.0.0.1:1\n[log]\nlevel = error\n");
    const SingleEngineAdapter adapter({loopback, engine.local_endpoint().port()});
    int exitCode = -1;
    std::thread gateway([&] { exitCode = runGateway(settings.path(), adapter); });
    auto caller = connectTo(io, callers);
    asio::write(caller,
                asio::buffer(std::string("POST / HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nContent-Length: 0\r\n\r\n")));
    tcp::socket engineSide(io);
    engine.accept(engineSide); // the request is in progress
    const auto stoppedAt = std::chrono::steady_clock::now();
    std::raise(SIGTERM);
    std::string response;
    boost::system::error_code ec;
    asio::read(caller, asio::dynamic_buffer(response), ec);
    CHECK(ec == asio::error::eof);
    CHECK(response.find("HTTP/1.1 502") == 0);
    CHECK(response.find("Monsoonward-Verdict: may-have-run") != std::string::npos);
    gateway.join();
    CHECK(exitCode == 4);
    CHECK(std::chrono::steady_clock::now() - stoppedAt < 1s);
}
