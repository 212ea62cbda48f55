#pragma once

#include "monsoonward/transport/tcpstream.h"

#include <nghttp2/nghttp2.h>

#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace monsoonward
{

using StreamId = std::int32_t;
using Headers = std::vector<std::pair<std::string, std::string>>;

/// @brief Callbacks of an H2Connection, called on the I/O thread.
class H2Handler
{
public:
    virtual ~H2Handler() = default;
    /// The connection is established and streams can be opened.
    virtual void connected() = 0;
    /// Received a complete header block: of a request at a server, of a response at a client, or a trailer.
    virtual void streamHeaders(StreamId stream, const Headers &headers) = 0;
    /// The bytes use up the stream's flow-control window until they are passed to H2Connection::consume().
    virtual void streamData(StreamId stream, std::string_view bytes) = 0;
    /// The peer ended its side of the stream (END_STREAM).
    virtual void streamEnded(StreamId stream) = 0;
    virtual void streamClosed(StreamId stream) = 0;
    /// @param sent number of bytes taken from the stream's send queue
    virtual void streamSent(StreamId stream, std::size_t sent) = 0;
    /// The connection was lost; no other callback follows. @param why the reason, for logs
    virtual void disconnected(const std::string &why) = 0;
};

enum class H2Side { Client, Server };

/// @brief Limits of one connection, announced to the peer in SETTINGS.
struct H2Limits
{
    std::uint32_t maxStreams = 0; ///< streams that the peer may have open at once
    std::uint32_t streamWindow = 0; ///< initial flow-control window of each stream, in bytes
    MONSOONWARD_FIELDS(maxStreams, streamWindow)
};

/// @brief Bytes sent and received on a connection since it was established.
struct H2Traffic
{
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
    MONSOONWARD_FIELDS(sent, received)
};

/// @brief An HTTP/2 connection, implemented with nghttp2 over a TcpStream. Must be created by std::make_shared and used
/// only on the thread of its IoLoop.
class H2Connection : public TcpStreamHandler, public std::enable_shared_from_this<H2Connection>
{
public:
    H2Connection(IoLoop &loop, H2Side side, const H2Limits &limits, H2Handler &handler);
    ~H2Connection() override;
    H2Connection(const H2Connection &) = delete;
    H2Connection &operator=(const H2Connection &) = delete;

    /// Accepts the next pending connection of @p server.
    void accept(cxxtools::net::TcpServer &server);
    void connect(const Address &address);

    /// Client: sends a request's headers. write() and finish() send its body.
    /// @return the new stream, or 0 when none can be opened
    StreamId open(const Headers &headers);
    /// Server: sends the response headers of a stream. write() and finish() send its body.
    void respond(StreamId stream, const Headers &headers);
    /// Queues @p bytes of the body.
    void write(StreamId stream, std::string bytes);
    /// Ends the body. @param trailer header fields sent after the body
    void finish(StreamId stream, const Headers &trailer = {});
    /// Resets the stream (RST_STREAM), so that the peer sees that the body is incomplete.
    void reset(StreamId stream);
    /// Returns @p n received bytes to the stream's flow-control window.
    void consume(StreamId stream, std::size_t n);
    /// @return number of bytes in the stream's send queue
    std::size_t queuedBytes(StreamId stream) const;
    const H2Traffic &traffic() const;
    /// @return when the last bytes were received
    TimePoint lastReceived() const;
    /// Closes the connection without calling H2Handler::disconnected().
    void close();

private:
    struct Stream
    {
        Headers receivedHeaders;
        std::size_t receivedHeaderBytes = 0;
        std::deque<std::string> sendQueue;
        std::size_t frontOffset = 0; // bytes of sendQueue.front() already sent
        std::size_t queuedBytes = 0;
        bool finished = false;
        Headers trailer;
        bool headersSubmitted = false; // own headers were passed to nghttp2
    };

    void connected() override;
    void received(std::string_view bytes) override;
    void written() override;
    void closed(const std::string &why) override;

    /// @return a data provider that reads bodies through readBody()
    nghttp2_data_provider makeProvider();
    static nghttp2_session_callbacks *makeCallbacks();
    /// Calls flush() at the end of the loop's iteration, so that one write carries all frames produced until then.
    void scheduleFlush();
    void flush();
    void fail(const std::string &why);
    /// Copies queued bytes of the body into a DATA frame (nghttp2_data_source_read_callback).
    ssize_t readBody(StreamId id, std::uint8_t *buf, std::size_t length, std::uint32_t *flags);
    void onHeader(StreamId id, std::string_view name, std::string_view value);
    void onFrame(const nghttp2_frame &frame);
    void onStreamClosed(StreamId id);

    IoLoop &m_loop;
    H2Side m_side;
    H2Limits m_limits;
    H2Handler &m_handler;
    TcpStream m_tcp;
    nghttp2_session *m_session = nullptr;
    std::unordered_map<StreamId, Stream> m_streams;
    H2Traffic m_traffic;
    TimePoint m_lastReceived {};
    bool m_flushScheduled = false;
    bool m_closed = false;
};

} // namespace monsoonward
