#include "enginepool.h"

#include <algorithm>

namespace monsoonward
{

namespace
{

constexpr std::size_t mostIdle = 16; // of one engine; a burst's connections beyond it are closed
constexpr Duration unstatedIdleTime = std::chrono::seconds(4); // when the engine doesn't say how long it keeps one
constexpr Duration idleMargin = std::chrono::milliseconds(700); // the engine's timer and the request on its way

} // namespace

EnginePool::EnginePool(boost::asio::io_context &io, const Clock &clock)
    : m_io(io)
    , m_clock(clock)
{
}

boost::asio::io_context &EnginePool::io()
{
    return m_io;
}

std::unique_ptr<EngineConnection> EnginePool::take(const EngineRecord &engine)
{
    const auto it = m_idle.find(engine.name);
    while (it != m_idle.end() && !it->second.empty()) {
        const auto idle = it->second.back();
        it->second.pop_back();
        if (idle.address == engine.address && m_clock.now() < idle.until) {
            auto connection = std::make_unique<EngineConnection>(std::move(*idle.connection));
            boost::system::error_code ignored; // there is nothing to cancel when the wait has just ended
            connection->socket.cancel(ignored);
            connection->isReused = true;
            return connection;
        }
    }
    return nullptr;
}

void EnginePool::keep(const EngineRecord &engine, std::unique_ptr<EngineConnection> connection)
{
    auto &idle = m_idle[engine.name];
    if (idle.size() >= mostIdle) {
        return;
    }
    const auto stated = connection->keptFor > Duration::zero() ? connection->keptFor : unstatedIdleTime;
    const auto number = ++m_lastNumber;
    std::shared_ptr<EngineConnection> shared = std::move(connection);
    idle.push_back({shared, engine.address, m_clock.now() + std::max(stated - idleMargin, Duration::zero()), number});
    shared->socket.async_wait(boost::asio::ip::tcp::socket::wait_read,
                              [this, name = engine.name, number](const boost::system::error_code &ec) {
                                  if (ec != boost::asio::error::operation_aborted) {
                                      drop(name, number);
                                  }
                              });
}

void EnginePool::drop(const EngineName &engine, std::uint64_t number)
{
    const auto it = m_idle.find(engine);
    if (it == m_idle.end()) {
        return;
    }
    auto &idle = it->second;
    idle.erase(std::remove_if(idle.begin(), idle.end(), [&](const Idle &one) { return one.number == number; }),
               idle.end());
}

void EnginePool::expire(const EngineDirectory &directory)
{
    const auto now = m_clock.now();
    for (auto it = m_idle.begin(); it != m_idle.end();) {
        auto &idle = it->second;
        idle.erase(std::remove_if(idle.begin(), idle.end(), [&](const Idle &one) { return now >= one.until; }),
                   idle.end());
        it = idle.empty() || directory.find(it->first) == nullptr ? m_idle.erase(it) : std::next(it);
    }
}

} // namespace monsoonward
