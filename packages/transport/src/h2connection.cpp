#include "monsoonward/transport/h2connection.h"

#include <algorithm>
#include <array>

namespace monsoonward
{

namespace
{

constexpr std::size_t maxWriteBytes = std::size_t {128} * 1024; // in one write to the socket
constexpr std::size_t maxHeaderBytes = std::size_t {16} * 1024; // received on one stream
constexpr std::int32_t connectionWindow = 64 * 1024 * 1024; // large, so that only the streams' windows limit the flow
constexpr std::uint32_t maxFrameBytes = 64 * 1024;

std::string_view toStringView(const std::uint8_t *data, std::size_t length)
{
    return {reinterpret_cast<const char *>(data), length};
}

std::vector<nghttp2_nv> toNameValues(const Headers &headers)
{
    std::vector<nghttp2_nv> list;
    list.reserve(headers.size());
    for (const auto &[name, value] : headers) {
        auto *n = reinterpret_cast<std::uint8_t *>(const_cast<char *>(name.data()));
        auto *v = reinterpret_cast<std::uint8_t *>(const_cast<char *>(value.data()));
        list.push_back({n, v, name.size(), value.size(), NGHTTP2_NV_FLAG_NONE});
    }
    return list;
}

} // namespace

H2Connection::H2Connection(IoLoop &loop, H2Side side, const H2Limits &limits, H2Handler &handler)
    : m_loop(loop)
    , m_side(side)
    , m_limits(limits)
    , m_handler(handler)
    , m_tcp(loop, *this)
{
}

H2Connection::~H2Connection()
{
    if (m_session != nullptr) {
        nghttp2_session_del(m_session);
    }
}

void H2Connection::accept(cxxtools::net::TcpServer &server)
{
    m_tcp.accept(server);
}

void H2Connection::connect(const Address &address)
{
    m_tcp.connect(address);
}

StreamId H2Connection::open(const Headers &headers)
{
    if (m_session == nullptr || m_closed) {
        return 0;
    }
    const auto nv = toNameValues(headers);
    const auto provider = makeProvider();
    const auto id = nghttp2_submit_request(m_session, nullptr, nv.data(), nv.size(), &provider, nullptr);
    if (id <= 0) {
        return 0;
    }
    m_streams[id].headersSubmitted = true;
    scheduleFlush();
    return id;
}

void H2Connection::respond(StreamId stream, const Headers &headers)
{
    const auto it = m_streams.find(stream);
    if (it == m_streams.end() || it->second.headersSubmitted) {
        return;
    }
    const auto nv = toNameValues(headers);
    const auto provider = makeProvider();
    it->second.headersSubmitted = true;
    nghttp2_submit_response(m_session, stream, nv.data(), nv.size(), &provider);
    scheduleFlush();
}

void H2Connection::write(StreamId stream, std::string bytes)
{
    const auto it = m_streams.find(stream);
    if (it == m_streams.end() || it->second.finished || bytes.empty()) {
        return;
    }
    it->second.queuedBytes += bytes.size();
    it->second.sendQueue.push_back(std::move(bytes));
    nghttp2_session_resume_data(m_session, stream);
    scheduleFlush();
}

void H2Connection::finish(StreamId stream, const Headers &trailer)
{
    const auto it = m_streams.find(stream);
    if (it == m_streams.end() || it->second.finished) {
        return;
    }
    it->second.finished = true;
    it->second.trailer = trailer;
    nghttp2_session_resume_data(m_session, stream);
    scheduleFlush();
}

void H2Connection::reset(StreamId stream)
{
    if (m_streams.count(stream) != 0) {
        nghttp2_submit_rst_stream(m_session, NGHTTP2_FLAG_NONE, stream, NGHTTP2_CANCEL);
        scheduleFlush();
    }
}

void H2Connection::consume(StreamId stream, std::size_t n)
{
    if (m_streams.count(stream) != 0) {
        nghttp2_session_consume_stream(m_session, stream, n);
        scheduleFlush();
    }
}

std::size_t H2Connection::queuedBytes(StreamId stream) const
{
    const auto it = m_streams.find(stream);
    return it == m_streams.end() ? 0 : it->second.queuedBytes;
}

const H2Traffic &H2Connection::traffic() const
{
    return m_traffic;
}

TimePoint H2Connection::lastReceived() const
{
    return m_lastReceived;
}

void H2Connection::close()
{
    if (!m_closed) {
        m_closed = true;
        m_tcp.close();
    }
}

nghttp2_data_provider H2Connection::makeProvider()
{
    nghttp2_data_provider provider {};
    provider.source.ptr = this;
    provider.read_callback = [](nghttp2_session *,
                                std::int32_t id,
                                std::uint8_t *buf,
                                std::size_t length,
                                std::uint32_t *flags,
                                nghttp2_data_source *source,
                                void *) {
        return static_cast<H2Connection *>(source->ptr)->readBody(id, buf, length, flags);
    };
    return provider;
}

nghttp2_session_callbacks *H2Connection::makeCallbacks()
{
    nghttp2_session_callbacks *callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_begin_headers_callback(
        callbacks, [](nghttp2_session *, const nghttp2_frame *frame, void *user) {
            static_cast<H2Connection *>(user)->m_streams[frame->hd.stream_id];
            return 0;
        });
    nghttp2_session_callbacks_set_on_header_callback(
        callbacks,
        [](nghttp2_session *,
           const nghttp2_frame *frame,
           const std::uint8_t *name,
           std::size_t nameLength,
           const std::uint8_t *value,
           std::size_t valueLength,
           std::uint8_t,
           void *user) {
            static_cast<H2Connection *>(user)->onHeader(
                frame->hd.stream_id, toStringView(name, nameLength), toStringView(value, valueLength));
            return 0;
        });
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks,
                                                         [](nghttp2_session *, const nghttp2_frame *frame, void *user) {
                                                             static_cast<H2Connection *>(user)->onFrame(*frame);
                                                             return 0;
                                                         });
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
        callbacks,
        [](nghttp2_session *session,
           std::uint8_t,
           std::int32_t id,
           const std::uint8_t *data,
           std::size_t length,
           void *user) {
            nghttp2_session_consume_connection(session, length);
            static_cast<H2Connection *>(user)->m_handler.streamData(id, toStringView(data, length));
            return 0;
        });
    nghttp2_session_callbacks_set_on_stream_close_callback(
        callbacks, [](nghttp2_session *, std::int32_t id, std::uint32_t, void *user) {
            static_cast<H2Connection *>(user)->onStreamClosed(id);
            return 0;
        });
    return callbacks;
}

void H2Connection::connected()
{
    m_lastReceived = SteadyClock().now();
    auto *callbacks = makeCallbacks();
    nghttp2_option *option = nullptr;
    nghttp2_option_new(&option);
    nghttp2_option_set_no_auto_window_update(option, 1);
    nghttp2_option_set_no_closed_streams(option, 1);
    if (m_side == H2Side::Server) {
        nghttp2_session_server_new2(&m_session, callbacks, this, option);
    } else {
        nghttp2_session_client_new2(&m_session, callbacks, this, option);
    }
    nghttp2_option_del(option);
    nghttp2_session_callbacks_del(callbacks);
    const std::array<nghttp2_settings_entry, 4> settings {{
        {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, m_limits.maxStreams},
        {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, m_limits.streamWindow},
        {NGHTTP2_SETTINGS_MAX_FRAME_SIZE, maxFrameBytes},
        {NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
    }};
    nghttp2_submit_settings(m_session, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    nghttp2_session_set_local_window_size(m_session, NGHTTP2_FLAG_NONE, 0, connectionWindow);
    scheduleFlush();
    m_handler.connected();
}

void H2Connection::received(std::string_view bytes)
{
    m_traffic.received += bytes.size();
    m_lastReceived = SteadyClock().now();
    const auto n =
        nghttp2_session_mem_recv(m_session, reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size());
    if (n < 0) {
        fail(nghttp2_strerror(static_cast<int>(n)));
        return;
    }
    scheduleFlush();
}

void H2Connection::written()
{
    scheduleFlush();
}

void H2Connection::closed(const std::string &why)
{
    fail(why);
}

void H2Connection::scheduleFlush()
{
    if (m_flushScheduled || m_closed) {
        return;
    }
    m_flushScheduled = true;
    m_loop.runAtEndOfIteration([weak = weak_from_this()] {
        if (const auto connection = weak.lock()) {
            connection->m_flushScheduled = false;
            connection->flush();
        }
    });
}

void H2Connection::flush()
{
    if (m_closed || m_session == nullptr || m_tcp.writing()) {
        return;
    }
    std::string buf;
    while (buf.size() < maxWriteBytes) {
        const std::uint8_t *data = nullptr;
        const auto n = nghttp2_session_mem_send(m_session, &data);
        if (n < 0) {
            fail(nghttp2_strerror(static_cast<int>(n)));
            return;
        }
        if (n == 0) {
            break;
        }
        buf.append(toStringView(data, static_cast<std::size_t>(n)));
    }
    m_traffic.sent += buf.size();
    if (!buf.empty()) {
        m_tcp.write(std::move(buf));
    } else if (nghttp2_session_want_read(m_session) == 0 && nghttp2_session_want_write(m_session) == 0) {
        fail("the HTTP/2 session ended (GOAWAY or protocol error)");
    }
}

void H2Connection::fail(const std::string &why)
{
    if (m_closed) {
        return;
    }
    close();
    m_handler.disconnected(why);
}

ssize_t H2Connection::readBody(StreamId id, std::uint8_t *buf, std::size_t length, std::uint32_t *flags)
{
    const auto it = m_streams.find(id);
    if (it == m_streams.end()) {
        return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    }
    auto &stream = it->second;
    std::size_t copied = 0;
    while (copied < length && !stream.sendQueue.empty()) {
        const auto &front = stream.sendQueue.front();
        const auto n = std::min(length - copied, front.size() - stream.frontOffset);
        std::copy_n(front.data() + stream.frontOffset, n, buf + copied);
        copied += n;
        stream.frontOffset += n;
        if (stream.frontOffset == front.size()) {
            stream.sendQueue.pop_front();
            stream.frontOffset = 0;
        }
    }
    stream.queuedBytes -= copied;
    if (stream.finished && stream.sendQueue.empty()) {
        *flags |= NGHTTP2_DATA_FLAG_EOF;
        if (!stream.trailer.empty()) {
            *flags |= NGHTTP2_DATA_FLAG_NO_END_STREAM;
            const auto nv = toNameValues(stream.trailer);
            nghttp2_submit_trailer(m_session, id, nv.data(), nv.size());
        }
    } else if (copied == 0) {
        return NGHTTP2_ERR_DEFERRED;
    }
    if (copied > 0) {
        m_handler.streamSent(id, copied);
    }
    return static_cast<ssize_t>(copied);
}

void H2Connection::onHeader(StreamId id, std::string_view name, std::string_view value)
{
    auto &stream = m_streams[id];
    stream.receivedHeaderBytes += name.size() + value.size();
    if (stream.receivedHeaderBytes > maxHeaderBytes) {
        reset(id);
        return;
    }
    stream.receivedHeaders.emplace_back(name, value);
}

void H2Connection::onFrame(const nghttp2_frame &frame)
{
    const auto id = frame.hd.stream_id;
    const auto it = m_streams.find(id);
    if (it == m_streams.end()) {
        return;
    }
    if (frame.hd.type == NGHTTP2_HEADERS && (frame.hd.flags & NGHTTP2_FLAG_END_HEADERS) != 0) {
        if (it->second.receivedHeaderBytes > maxHeaderBytes) {
            return;
        }
        const auto headers = std::move(it->second.receivedHeaders);
        it->second.receivedHeaders.clear();
        m_handler.streamHeaders(id, headers);
    }
    const bool mayEndStream = frame.hd.type == NGHTTP2_HEADERS || frame.hd.type == NGHTTP2_DATA;
    if (mayEndStream && (frame.hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
        m_handler.streamEnded(id);
    }
}

void H2Connection::onStreamClosed(StreamId id)
{
    if (m_streams.erase(id) != 0) {
        m_handler.streamClosed(id);
    }
}

} // namespace monsoonward
