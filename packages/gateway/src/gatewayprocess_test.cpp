// Tests a whole gateway process over loopback sockets, with its store in memory.
#include "monsoonward/gateway/gateway.h"

#include <doctest/doctest.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
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
class SingleEngineAdapter : public Adapter
{
public:
    explicit SingleEngineAdapter(const Address &engine)
        : m_engine(engine)
    {
        m_dialect.requestId = "Request-Id";
        m_dialect.timeLeft = "Time-Left";
        m_dialect.apiKey = "Key";
        m_dialect.customer = "Customer";
        m_dialect.expectedEngine = "Engine";
        m_dialect.notExecuted = "Not-Run";
        m_dialect.engineMarker = "Seal";
        m_dialect.engineLeaving = "Leaving";
        m_dialect.tokenCounts = "Tokens";
        m_dialect.lastEventId = "Last-Event-Id";
        m_dialect.readyPath = "/ready";
    }
    const HttpDialect &dialect() const override
    {
        return m_dialect;
    }
    const StoreLayout &storeLayout() const override
    {
        return m_layout;
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
    HttpDialect m_dialect;
    StoreLayout m_layout {"configuration", "row", "engines", "gateways"};
    Address m_engine;
};

std::string freeAddress()
{
    asio::io_context io;
    const tcp::acceptor acceptor(io, {asio::ip::make_address(loopback), 0});
    return std::string(loopback) + ":" + std::to_string(acceptor.local_endpoint().port());
}

} // namespace

TEST_CASE("a gateway that is stopped with requests in progress cuts them in time and ends cleanly")
{
    asio::io_context io;
    tcp::acceptor engine(io, {asio::ip::make_address(loopback), 0}); // accepts connections and never responds
    const auto callers = freeAddress();
    char file[] = "/tmp/monsoonward-test-XXXXXX";
    close(mkstemp(file));
    std::ofstream(file)
        << "[daemon]\nrole = gateway\nhost = g\ndata-centre = a\nregions = a: r\ngrace = 1 s\n[callers]\nlisten = "
        << callers << "\n[health]\nlisten = " << freeAddress() << "\n[admin]\nlisten = " << freeAddress()
        << "\n[peer]\nlisten = " << freeAddress() << "\n[store]\naddress = 127.0.0.1:1\n[log]\nlevel = error\n";
    const SingleEngineAdapter adapter({loopback, engine.local_endpoint().port()});
    int exitCode = -1;
    std::thread gateway([&] { exitCode = runGateway(file, adapter); });
    std::this_thread::sleep_for(300ms);
    tcp::socket caller(io);
    caller.connect({asio::ip::make_address(loopback),
                    static_cast<unsigned short>(std::stoul(callers.substr(callers.find(':') + 1)))});
    asio::write(caller,
                asio::buffer(std::string("POST / HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nContent-Length: 0\r\n\r\n")));
    tcp::socket engineSide(io);
    engine.accept(engineSide); // the request is in progress
    const auto stoppedAt = std::chrono::steady_clock::now();
    std::raise(SIGTERM);
    gateway.join();
    CHECK(exitCode == 4);
    CHECK(std::chrono::steady_clock::now() - stoppedAt < 1s);
    std::remove(file);
}
