#include "callerstream.h"

#include <algorithm>

namespace monsoonward
{

namespace
{

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

Headers toH2Headers(unsigned status, const HeaderList &headers)
{
    Headers list {{":status", std::to_string(status)}};
    for (const auto &[name, value] : headers) {
        list.emplace_back(lowerCase(name), value);
    }
    return list;
}

} // namespace

StreamSink::StreamSink(IoLoop &loop, std::weak_ptr<StreamConnection> connection, StreamId stream)
    : m_loop(loop)
    , m_connection(std::move(connection))
    , m_stream(stream)
{
}

void StreamSink::accepted(const RequestId &id)
{
    onLoop([stream = m_stream, id](StreamConnection &it) { it.accepted(stream, id); });
}

void StreamSink::begin(unsigned status, const HeaderList &headers)
{
    onLoop([stream = m_stream, status, headers](StreamConnection &it) { it.answerBegin(stream, status, headers); });
}

bool StreamSink::bytes(const std::string &bytes, std::size_t wireBytes, const std::shared_ptr<AnswerCredit> &credit)
{
    onLoop([stream = m_stream, bytes, wireBytes, credit](StreamConnection &it) {
        it.answerBytes(stream, bytes, wireBytes, credit);
    });
    return true;
}

void StreamSink::completed()
{
    onLoop([stream = m_stream](StreamConnection &it) { it.answerCompleted(stream); });
}

void StreamSink::refused(const RequestId &id, const Refusal &refusal)
{
    onLoop([stream = m_stream, reply = refusalReply(id, refusal)](StreamConnection &it) {
        it.answerRefused(stream, reply);
    });
}

void StreamSink::onLoop(std::function<void(StreamConnection &)> task)
{
    m_loop.post([weak = m_connection, task = std::move(task)] {
        if (const auto connection = weak.lock()) {
            task(*connection);
        }
    });
}

StreamConnection::StreamConnection(
    IoLoop &loop, const H2Limits &limits, std::size_t maxBodyBytes, EntryNode &node, ClosedCallback onClosed)
    : m_loop(loop)
    , m_maxBodyBytes(maxBodyBytes)
    , m_node(node)
    , m_onClosed(std::move(onClosed))
    , m_connection(std::make_shared<H2Connection>(loop, H2Side::Server, limits, *this))
{
}

void StreamConnection::accept(cxxtools::net::TcpServer &server)
{
    m_connection->accept(server);
}

void StreamConnection::close()
{
    m_connection->close();
    for (const auto &[stream, it] : m_streams) {
        cancel(it);
    }
    m_streams.clear();
}

void StreamConnection::accepted(StreamId stream, const RequestId &id)
{
    if (auto *it = find(stream)) {
        it->id = id;
    } else {
        m_node.cancel(id);
    }
}

void StreamConnection::answerBegin(StreamId stream, unsigned status, const HeaderList &headers)
{
    auto *it = find(stream);
    if (it == nullptr || it->responseStarted) {
        return;
    }
    it->responseStarted = true;
    auto list = toH2Headers(status, headers);
    list.emplace_back(lowerCase(requestIdHeader), textOf(*it->id));
    list.emplace_back("trailer", lowerCase(verdictHeader));
    m_connection->respond(stream, list);
}

void StreamConnection::answerBytes(StreamId stream,
                                   std::string bytes,
                                   std::size_t wireBytes,
                                   std::shared_ptr<AnswerCredit> credit)
{
    if (auto *it = find(stream)) {
        it->unsentChunks.push_back({bytes.size(), wireBytes, std::move(credit)});
        m_connection->write(stream, std::move(bytes));
    }
}

void StreamConnection::answerCompleted(StreamId stream)
{
    if (auto *it = find(stream)) {
        it->ended = true;
        m_connection->finish(stream, {{lowerCase(verdictHeader), textOf(Verdict::Completed)}});
    }
}

void StreamConnection::answerRefused(StreamId stream, const HttpReply &reply)
{
    auto *it = find(stream);
    if (it == nullptr) {
        return;
    }
    it->ended = true;
    if (it->responseStarted) {
        m_connection->reset(stream);
    } else {
        this->reply(stream, reply);
    }
}

void StreamConnection::connected()
{
}

void StreamConnection::streamHeaders(StreamId stream, const Headers &headers)
{
    auto &it = m_streams[stream];
    for (const auto &[name, value] : headers) {
        if (name == ":method") {
            it.request.method = value;
        } else if (name == ":path") {
            it.request.path = value;
        } else if (name[0] != ':') {
            it.request.headers.emplace_back(name, value);
        }
    }
}

void StreamConnection::streamData(StreamId stream, std::string_view bytes)
{
    m_connection->consume(stream, bytes.size());
    auto *it = find(stream);
    if (it == nullptr || it->ended) {
        return;
    }
    if (it->request.body.size() + bytes.size() > m_maxBodyBytes) {
        it->ended = true;
        reply(stream,
              refusalBeforeSubmit(
                  413, "body-too-large", "the body is longer than " + std::to_string(m_maxBodyBytes) + " bytes"));
        return;
    }
    it->request.body.append(bytes);
}

void StreamConnection::streamEnded(StreamId stream)
{
    auto *it = find(stream);
    if (it == nullptr || it->ended || it->submitted) {
        return;
    }
    it->submitted = true;
    const auto sink = std::make_shared<StreamSink>(m_loop, weak_from_this(), stream);
    const auto request = std::move(it->request);
    if (const auto refusal = m_node.submit(request, sink)) {
        it->ended = true;
        reply(stream, *refusal);
    }
}

void StreamConnection::streamClosed(StreamId stream)
{
    const auto it = m_streams.find(stream);
    if (it != m_streams.end()) {
        cancel(it->second);
        m_streams.erase(it);
    }
}

void StreamConnection::streamSent(StreamId stream, std::size_t sent)
{
    auto *it = find(stream);
    while (it != nullptr && sent > 0 && !it->unsentChunks.empty()) {
        auto &front = it->unsentChunks.front();
        const auto n = std::min(sent, front.bytes);
        front.bytes -= n;
        sent -= n;
        if (front.bytes == 0) {
            front.credit->consumed(front.wireBytes);
            it->unsentChunks.pop_front();
        }
    }
}

void StreamConnection::disconnected(const std::string & /*why*/)
{
    close();
    m_onClosed(*this);
}

StreamConnection::Stream *StreamConnection::find(StreamId stream)
{
    const auto it = m_streams.find(stream);
    return it == m_streams.end() ? nullptr : &it->second;
}

void StreamConnection::reply(StreamId stream, const HttpReply &reply)
{
    m_connection->respond(stream, toH2Headers(reply.status, reply.headers));
    m_connection->write(stream, reply.body);
    m_connection->finish(stream);
}

void StreamConnection::cancel(const Stream &stream)
{
    if (stream.id && !stream.ended) {
        m_node.cancel(*stream.id);
    }
}

} // namespace monsoonward
