#pragma once

#include "entrynode.h"

#include <monsoonward/transport/transport.h>

#include <deque>
#include <memory>
#include <unordered_map>

namespace monsoonward
{

class StreamConnection;

/// @brief Forwards one answer to a stream of a StreamConnection. Thread-safe.
class StreamSink : public AnswerSink
{
public:
    StreamSink(IoLoop &loop, std::weak_ptr<StreamConnection> connection, StreamId stream);

    void accepted(const RequestId &id) override;
    void begin(unsigned status, const HeaderList &headers) override;
    bool bytes(const std::string &bytes, std::size_t wireBytes, const std::shared_ptr<AnswerCredit> &credit) override;
    void completed() override;
    void refused(const RequestId &id, const Refusal &refusal) override;

private:
    void onLoop(std::function<void(StreamConnection &)> task);

    IoLoop &m_loop;
    std::weak_ptr<StreamConnection> m_connection;
    StreamId m_stream;
};

/// @brief A caller's HTTP/2 connection. All methods run on the listener's I/O thread.
class StreamConnection : public H2Handler, public std::enable_shared_from_this<StreamConnection>
{
public:
    using ClosedCallback = std::function<void(StreamConnection &)>;

    StreamConnection(
        IoLoop &loop, const H2Limits &limits, std::size_t maxBodyBytes, EntryNode &node, ClosedCallback onClosed);

    void accept(cxxtools::net::TcpServer &server);
    /// Closes the connection and cancels its requests in progress.
    void close();

    // called by StreamSink
    void accepted(StreamId stream, const RequestId &id);
    void answerBegin(StreamId stream, unsigned status, const HeaderList &headers);
    void answerBytes(StreamId stream, std::string bytes, std::size_t wireBytes, std::shared_ptr<AnswerCredit> credit);
    void answerCompleted(StreamId stream);
    void answerRefused(StreamId stream, const HttpReply &reply);

    void connected() override;
    void streamHeaders(StreamId stream, const Headers &headers) override;
    void streamData(StreamId stream, std::string_view bytes) override;
    void streamEnded(StreamId stream) override;
    void streamClosed(StreamId stream) override;
    void streamSent(StreamId stream, std::size_t sent) override;
    void disconnected(const std::string &why) override;

private:
    /// Answer bytes not yet sent to the caller, and the flow-control credit to return to the target afterwards.
    struct UnsentChunk
    {
        std::size_t bytes = 0;
        std::size_t wireBytes = 0;
        std::shared_ptr<AnswerCredit> credit;
    };
    struct Stream
    {
        HttpRequest request;
        std::optional<RequestId> id;
        std::deque<UnsentChunk> unsentChunks;
        bool responseStarted = false;
        bool submitted = false;
        bool ended = false; // no more of the answer follows
    };

    Stream *find(StreamId stream);
    void reply(StreamId stream, const HttpReply &reply);
    void cancel(const Stream &stream);

    IoLoop &m_loop;
    std::size_t m_maxBodyBytes;
    EntryNode &m_node;
    ClosedCallback m_onClosed;
    std::shared_ptr<H2Connection> m_connection;
    std::unordered_map<StreamId, Stream> m_streams;
};

} // namespace monsoonward
