#include "enginepool.h"

#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

using namespace monsoonward;
using boost::asio::ip::tcp;

namespace
{

/// A pool with one idle connection, whose event loop is run by the test.
class PoolFixture
{
public:
    PoolFixture()
    {
        m_engine.name = EngineName("e");
        m_engine.address = {"127.0.0.1", m_acceptor.local_endpoint().port()};
        auto connection = std::make_unique<EngineConnection>(m_io);
        connection->socket.connect(m_acceptor.local_endpoint());
        m_acceptor.accept(m_peer);
        m_pool.onExtraBytes = [this](const EngineName &engine) {
            CHECK(engine == EngineName("e"));
            ++m_reports;
        };
        m_pool.release(m_engine, std::move(connection));
    }

protected:
    boost::asio::io_context m_io;
    tcp::acceptor m_acceptor {m_io, {boost::asio::ip::address_v4::loopback(), 0}};
    tcp::socket m_peer {m_io};
    SteadyClock m_clock;
    EnginePool m_pool {m_io, m_clock};
    EngineRecord m_engine;
    unsigned m_reports = 0;
};

} // namespace

TEST_CASE_FIXTURE(PoolFixture, "a quiet connection is reused")
{
    CHECK(m_pool.acquire(m_engine) != nullptr);
    CHECK(m_pool.acquire(m_engine) == nullptr);
    CHECK(m_reports == 0);
}

// Bytes that had arrived, but weren't noticed by the event loop yet, were read as the response to the next request.
TEST_CASE_FIXTURE(PoolFixture, "a connection on which bytes have just arrived is not reused")
{
    boost::asio::write(m_peer, boost::asio::buffer(std::string("x")));
    CHECK(m_pool.acquire(m_engine) == nullptr);
    CHECK(m_reports == 1);
    m_io.poll();
    CHECK(m_reports == 1);
}

// The next request was sent on such a connection and lost, though it could have been sent on a new one.
TEST_CASE_FIXTURE(PoolFixture, "a connection that the engine has just closed is not reused")
{
    m_peer.close();
    CHECK(m_pool.acquire(m_engine) == nullptr);
    CHECK(m_reports == 0);
}

TEST_CASE_FIXTURE(PoolFixture, "bytes on an idle connection close it and are reported")
{
    boost::asio::write(m_peer, boost::asio::buffer(std::string("x")));
    m_io.run_one();
    CHECK(m_reports == 1);
    CHECK(m_pool.acquire(m_engine) == nullptr);
    boost::system::error_code ec;
    char byte = 0;
    m_peer.read_some(boost::asio::buffer(&byte, 1), ec);
    CHECK(ec);
}
