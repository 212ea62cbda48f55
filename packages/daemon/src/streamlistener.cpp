#include "streamlistener.h"

#include "callerstream.h"

#include <set>

namespace monsoonward
{

namespace
{

constexpr int listenBacklog = 128;
constexpr std::uint32_t streamWindow = 256 * 1024; // flow-control window of a stream, for request bodies
constexpr std::size_t maxConnections = 4096;

} // namespace

class StreamListener::Impl : public cxxtools::Connectable
{
public:
    Impl(const StreamListenerOptions &options, EntryNode &node)
        : m_options(options)
        , m_node(node)
    {
        cxxtools::connect(m_server.connectionPending, *this, &Impl::onConnection);
    }

    Result<void> start()
    {
        try {
            m_server.listen(m_options.listen.ip, m_options.listen.port, listenBacklog);
            m_loop.selector().add(m_server);
        } catch (const std::exception &error) {
            return Error {ErrorCode::Unavailable,
                          "cannot listen on " + m_options.listen.ip + ":" + std::to_string(m_options.listen.port) + ": "
                              + error.what()};
        }
        m_loop.start([] {});
        return boost::outcome_v2::success();
    }

    void stop()
    {
        m_loop.post([this] {
            m_server.close();
            for (const auto &it : m_connections) {
                it->close();
                m_loop.releaseLater(it);
            }
            m_connections.clear();
        });
        m_loop.stop();
    }

private:
    void onConnection(cxxtools::net::TcpServer &server)
    {
        const H2Limits limits {m_options.maxStreams, streamWindow};
        const auto connection = std::make_shared<StreamConnection>(
            m_loop, limits, m_options.maxBodyBytes, m_node, [this](StreamConnection &it) { removeConnection(it); });
        try {
            connection->accept(server);
        } catch (const std::exception &) {
            m_loop.releaseLater(connection);
            return;
        }
        if (m_connections.size() >= maxConnections) {
            connection->close();
            m_loop.releaseLater(connection);
            return;
        }
        m_connections.insert(connection);
    }

    void removeConnection(StreamConnection &connection)
    {
        const auto it = m_connections.find(connection.shared_from_this());
        if (it != m_connections.end()) {
            m_loop.releaseLater(*it);
            m_connections.erase(it);
        }
    }

    StreamListenerOptions m_options;
    EntryNode &m_node;
    IoLoop m_loop;
    cxxtools::net::TcpServer m_server;
    std::set<std::shared_ptr<StreamConnection>> m_connections;
};

StreamListener::StreamListener(const StreamListenerOptions &options, EntryNode &node)
    : m_impl(std::make_unique<Impl>(options, node))
{
}

StreamListener::~StreamListener()
{
    stop();
}

Result<void> StreamListener::start()
{
    return m_impl->start();
}

void StreamListener::stop()
{
    m_impl->stop();
}

} // namespace monsoonward
