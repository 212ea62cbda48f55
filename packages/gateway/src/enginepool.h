#pragma once

#include "monsoonward/gateway/httpdialect.h"

#include <monsoonward/dispatch/dispatch.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace monsoonward
{

/// @brief One connection to an engine.
struct EngineConnection
{
    /// Also limits a line between two chunks, and what follows the last chunk.
    static constexpr std::size_t maxBufferBytes = std::size_t {64} * 1024;

    static constexpr std::size_t maxRequests = 64; ///< that are remembered

    explicit EngineConnection(boost::asio::io_context &io)
        : socket(io)
    {
    }
    /// @param request hash of the ID of a request that is sent now
    void addRequest(std::uint64_t request);
    /// @return whether the request may be sent here. Not if one with its ID was: a late response to that one could be
    /// taken for its own.
    bool mayCarry(std::uint64_t request) const;
    boost::asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer {maxBufferBytes};
    std::deque<std::uint64_t> requests; ///< hashes of the IDs of the last ones that were sent
    bool isReused = false;
    EngineContinuity::Ticket ticket; ///< null until it is connected
    Duration keepAliveTimeout {}; ///< how long the engine keeps the connection open while idle; zero if it did not say
};

/// @brief Pool of idle connections to engines. A connection is removed as soon as the engine closes it or sends
/// unsolicited data. Of the connections to an engine, the pool keeps this gateway's share.
class EnginePool
{
public:
    /// @param clock, division, continuity must outlive this object
    EnginePool(boost::asio::io_context &io,
               const Clock &clock,
               const ConnectionDivision &division,
               EngineContinuity &continuity);
    EnginePool(const EnginePool &) = delete;
    EnginePool &operator=(const EnginePool &) = delete;

    boost::asio::io_context &io();
    /// @param request hash of the request's ID
    /// @return an idle connection to the engine that may carry the request, or null if there is none
    std::unique_ptr<EngineConnection> acquire(const EngineRecord &engine, std::uint64_t request);
    /// Records that the engine accepted the connection, or ended or refused one.
    void connectionOpened(const EngineName &engine, EngineConnection &connection);
    void connectionEnded(const EngineName &engine);
    /// Records that the engine sent bytes.
    void bytesReceived(const EngineName &engine, const EngineConnection &connection);
    /// Returns a connection without outstanding request or response to the pool.
    void release(const EngineRecord &engine, std::unique_ptr<EngineConnection> connection);
    /// Closes connections that have been idle for too long, those beyond this gateway's share, and those to engines
    /// that are not in @p directory.
    void expire(const EngineDirectory &directory);
    /// Reports that bytes followed a response of the engine. The connection must not be used again.
    void reportExtraBytes(const EngineName &engine) const;

    /// Called by reportExtraBytes(), also for bytes on idle connections.
    std::function<void(const EngineName &)> onExtraBytes;

private:
    struct IdleConnection
    {
        std::shared_ptr<EngineConnection> connection;
        Address address;
        TimePoint expiresAt;
        std::uint64_t id = 0;
    };

    void remove(const EngineName &engine, std::uint64_t id);
    bool isQuiet(const EngineName &engine, EngineConnection &connection);

    boost::asio::io_context &m_io;
    const Clock &m_clock;
    const ConnectionDivision &m_division;
    EngineContinuity &m_continuity;
    std::map<EngineName, std::vector<IdleConnection>> m_idle;
    std::uint64_t m_lastId = 0;
};

} // namespace monsoonward
