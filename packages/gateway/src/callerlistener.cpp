#include "callerlistener.h"

#include "listening.h"

namespace monsoonward
{

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace
{

constexpr std::uint32_t reservedDescriptors = 500; // files, engines, store, health checks and the platform's own
constexpr std::size_t leastConnections = 16;
constexpr Duration acceptPause = std::chrono::milliseconds(50); // while no connection more is possible

} // namespace

CallerListener::CallerListener(GatewayCore &core)
    : m_core(core)
    , m_acceptor(core.io)
    , m_pause(core.io)
{
}

Result<void> CallerListener::listen()
{
    return listenOn(m_acceptor, m_core.settings.callerListen);
}

void CallerListener::open()
{
    if (!m_isOpen) {
        m_isOpen = true;
        accept();
    }
}

void CallerListener::accept()
{
    const auto descriptors = m_core.settings.descriptors;
    const std::size_t most = std::max<std::size_t>(
        leastConnections, descriptors > reservedDescriptors ? descriptors - reservedDescriptors : 0);
    if (m_connections.size() >= most) {
        m_pause.expires_after(acceptPause);
        m_pause.async_wait([this](const error_code &ec) {
            if (!ec) {
                accept();
            }
        });
        return;
    }
    m_acceptor.async_accept([this](const error_code &ec, tcp::socket socket) {
        if (ec == boost::asio::error::operation_aborted) {
            return;
        }
        if (!ec) {
            const auto connection =
                std::make_shared<CallerConnection>(m_core, std::move(socket), [this](CallerConnection *it) {
                    m_connections.erase(it->shared_from_this());
                });
            m_connections.insert(connection);
            connection->start();
        }
        accept();
    });
}

void CallerListener::stopAccepting()
{
    m_pause.cancel();
    error_code ignored; // it may be closed already
    m_acceptor.close(ignored);
}

void CallerListener::closeIdle()
{
    const auto connections = m_connections;
    for (const auto &it : connections) {
        it->closeIfIdle();
    }
}

std::size_t CallerListener::connections() const
{
    return m_connections.size();
}

} // namespace monsoonward
