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

/// @brief Told what happens on an H2Connection, on the I/O thread.
class H2Handler
{
public:
    virtual ~H2Handler() = default;
    virtual void connected() = 0;
    /// The other side's headers are complete: a request at a server, a response at a client.
    virtual void streamHeaders(StreamId stream, const Headers &headers) = 0;
    /// Bytes count against the stream's window until H2Connection::consume().
    virtual void streamData(StreamId stream, std::string_view bytes) = 0;
    /// The other side sends nothing more on the stream.
    virtual void streamEnded(StreamId stream) = 0;
    virtual void streamClosed(StreamId stream) = 0;
    /// @param sent bytes that left the send queue of the stream
    virtual void streamSent(StreamId stream, std::size_t sent) = 0;
    /// The last call. @param why for logs
    virtual void disconnected(const std::string &why) = 0;
};

enum class H2Side { Client, Server };

/// @brief Bounds of one connection.
struct H2Limits
{
    std::uint32_t maxStreams = 0; ///< that the other side may have open at once
    std::uint32_t streamWindow = 0; ///< bytes unread on one stream
    MONSOONWARD_FIELDS(maxStreams, streamWindow)
};

/// @brief Bytes on one connection, both ways, since it began.
struct H2Traffic
{
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
    MONSOONWARD_FIELDS(sent, received)
};

/// @brief An HTTP/2 connection (nghttp2 over TcpStream). Lives on an IoLoop; made by std::make_shared.
class H2Connection : public TcpStreamHandler, public std::enable_shared_from_this<H2Connection>
{
public:
    H2Connection(IoLoop &loop, H2Side side, const H2Limits &limits, H2Handler &handler);
    ~H2Connection() override;
    H2Connection(const H2Connection &) = delete;
    H2Connection &operator=(const H2Connection &) = delete;

    void accept(cxxtools::net::TcpServer &server);
    void connect(const Address &address);

    /// @return the new stream, or 0 when none can be opened. Its body is what write() and finish() send.
    StreamId open(const Headers &headers);
    /// Sends the response headers of a server's stream; the body follows by write() and finish().
    void respond(StreamId stream, const Headers &headers);
    void write(StreamId stream, std::string bytes);
    /// Nothing more is written to the stream. @param trailer headers that follow the body
    void finish(StreamId stream, const Headers &trailer = {});
    /// Cuts the stream; the other side sees that its body isn't whole.
    void reset(StreamId stream);
    /// Gives @p n received bytes of the stream back to its window.
    void consume(StreamId stream, std::size_t n);
    /// @return bytes of the stream that wait to be sent
    std::size_t queued(StreamId stream) const;
    const H2Traffic &traffic() const;
    /// @return when bytes came last
    TimePoint lastReceived() const;
    /// Ends the connection without a call of H2Handler::disconnected().
    void close();

private:
    struct Stream
    {
        Headers incoming;
        std::size_t incomingBytes = 0;
        std::deque<std::string> out;
        std::size_t offset = 0; // into out.front()
        std::size_t queued = 0;
        bool finished = false;
        Headers trailer;
        bool sending = false; // headers were submitted
    };

    void connected() override;
    void received(std::string_view bytes) override;
    void written() override;
    void closed(const std::string &why) override;

    nghttp2_data_provider makeProvider();
    static nghttp2_session_callbacks *makeCallbacks();
    void flushLater();
    void flush();
    void fail(const std::string &why);
    ssize_t readOut(StreamId id, std::uint8_t *buf, std::size_t length, std::uint32_t *flags);
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
    bool m_flushPlanned = false;
    bool m_closed = false;
};

} // namespace monsoonward
