#include "enginepool.h"

#include <algorithm>

namespace monsoonward
{

namespace
{

constexpr Duration defaultKeepAliveTimeout = std::chrono::seconds(4); // if the engine sends no Keep-Alive timeout
constexpr Duration keepAliveMargin =
    std::chrono::milliseconds(700); // for the engine's timer and the request's time in transit

} // namespace

void EngineConnection::addRequest(std::uint64_t request)
{
    requests.push_back(request);
    if (requests.size() > maxRequests) {
        requests.pop_front();
    }
}

bool EngineConnection::mayCarry(std::uint64_t request) const
{
    return std::find(requests.begin(), requests.end(), request) == requests.end();
}

EnginePool::EnginePool(boost::asio::io_context &io,
                       const Clock &clock,
                       const ConnectionDivision &division,
                       EngineContinuity &continuity)
    : m_io(io)
    , m_clock(clock)
    , m_division(division)
    , m_continuity(continuity)
{
}

boost::asio::io_context &EnginePool::io()
{
    return m_io;
}

std::unique_ptr<EngineConnection> EnginePool::acquire(const EngineRecord &engine, std::uint64_t request)
{
    const auto found = m_idle.find(engine.name);
    if (found == m_idle.end()) {
        return nullptr;
    }
    auto &connections = found->second;
    for (auto n = connections.size(); n > 0; --n) {
        const auto idle = connections[n - 1];
        if (!idle.connection->mayCarry(request)) {
            continue;
        }
        connections.erase(connections.begin() + static_cast<std::ptrdiff_t>(n - 1));
        if (idle.address == engine.address && m_clock.now() < idle.expiresAt
            && isQuiet(engine.name, *idle.connection)) {
            auto connection = std::make_unique<EngineConnection>(std::move(*idle.connection));
            boost::system::error_code ignored; // the wait may just have completed
            connection->socket.cancel(ignored);
            connection->isReused = true;
            return connection;
        }
    }
    return nullptr;
}

void EnginePool::connectionOpened(const EngineName &engine, EngineConnection &connection)
{
    connection.ticket = m_continuity.connectionOpened(engine, m_clock.now());
}

void EnginePool::connectionEnded(const EngineName &engine)
{
    m_continuity.connectionEnded(engine, m_clock.now());
}

void EnginePool::bytesReceived(const EngineName &engine, const EngineConnection &connection)
{
    m_continuity.bytesReceived(engine, connection.ticket, m_clock.now());
}

/// @return whether the engine has neither closed the connection nor sent anything on it
bool EnginePool::isQuiet(const EngineName &engine, EngineConnection &connection)
{
    char byte = 0;
    const auto n = ::recv(connection.socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (n > 0) {
        reportExtraBytes(engine);
    }
    const bool isOpen = n > 0 || (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR));
    if (!isOpen) {
        connectionEnded(engine);
    }
    return isOpen && n < 0;
}

void EnginePool::reportExtraBytes(const EngineName &engine) const
{
    if (onExtraBytes) {
        onExtraBytes(engine);
    }
}

void EnginePool::release(const EngineRecord &engine, std::unique_ptr<EngineConnection> connection)
{
    auto &idle = m_idle[engine.name];
    if (idle.size() >= m_division.ownIdleShare(engine)) {
        return;
    }
    const auto keepAliveTimeout =
        connection->keepAliveTimeout > Duration::zero() ? connection->keepAliveTimeout : defaultKeepAliveTimeout;
    const auto id = ++m_lastId;
    std::shared_ptr<EngineConnection> shared = std::move(connection);
    idle.push_back(
        {shared, engine.address, m_clock.now() + std::max(keepAliveTimeout - keepAliveMargin, Duration::zero()), id});
    shared->socket.async_wait(boost::asio::ip::tcp::socket::wait_read,
                              [this, name = engine.name, id](const boost::system::error_code &ec) {
                                  if (ec != boost::asio::error::operation_aborted) {
                                      remove(name, id);
                                  }
                              });
}

void EnginePool::remove(const EngineName &engine, std::uint64_t id)
{
    const auto it = m_idle.find(engine);
    if (it == m_idle.end()) {
        return;
    }
    auto &idle = it->second;
    const auto found = std::find_if(idle.begin(), idle.end(), [&](const IdleConnection &one) { return one.id == id; });
    if (found == idle.end()) {
        return;
    }
    boost::system::error_code ignored; // a broken connection has nothing to read
    if (found->connection->socket.available(ignored) > 0) {
        reportExtraBytes(engine);
    } else {
        connectionEnded(engine);
    }
    idle.erase(found);
}

void EnginePool::expire(const EngineDirectory &directory)
{
    const auto now = m_clock.now();
    for (auto it = m_idle.begin(); it != m_idle.end();) {
        auto &idle = it->second;
        idle.erase(
            std::remove_if(idle.begin(), idle.end(), [&](const IdleConnection &one) { return now >= one.expiresAt; }),
            idle.end());
        const auto *engine = directory.find(it->first);
        const auto share = engine == nullptr ? 0 : m_division.ownIdleShare(*engine);
        if (idle.size() > share) {
            idle.erase(idle.begin(), idle.end() - static_cast<std::ptrdiff_t>(share));
        }
        it = idle.empty() ? m_idle.erase(it) : std::next(it);
    }
}

} // namespace monsoonward
