#include "handlers.h"

#include "wholeanswersink.h"

namespace monsoonward
{

namespace
{

constexpr std::size_t maxBufferedAnswerBytes = std::size_t {16} * 1024 * 1024;
const std::string bearerPrefix = "Bearer ";

std::string bearerToken(const HttpRequest &request)
{
    const auto *header = findHeader(request.headers, "Authorization");
    const bool isBearer = header != nullptr && header->compare(0, bearerPrefix.size(), bearerPrefix) == 0;
    return isBearer ? header->substr(bearerPrefix.size()) : std::string();
}

} // namespace

CallerHandler::CallerHandler(EntryNode &node)
    : m_node(node)
{
}

std::shared_ptr<PendingReply> CallerHandler::handle(const HttpRequest &request, ReplyCallback done)
{
    const auto sink = std::make_shared<BufferedAnswerSink>(
        maxBufferedAnswerBytes, done, [this](const RequestId &id) { m_node.cancel(id); });
    if (auto reply = m_node.submit(request, sink)) {
        done(*reply);
        return nullptr;
    }
    return sink;
}

AdminHandler::AdminHandler(Node &node, Metrics &metrics, std::size_t maxThreads)
    : m_node(node)
    , m_metrics(metrics)
    , m_workers(maxThreads)
{
}

std::shared_ptr<PendingReply> AdminHandler::handle(const HttpRequest &request, ReplyCallback done)
{
    m_workers.post([this, request, done = std::move(done)] { done(makeReply(request)); });
    return nullptr;
}

HttpReply AdminHandler::makeReply(const HttpRequest &request)
{
    const auto path = request.path.substr(0, request.path.find('?'));
    if (path == "/dump") {
        return {200, {{"Content-Type", "application/json"}}, m_node.dump()};
    }
    if (path == "/metrics") {
        return {200, {{"Content-Type", "text/plain; version=0.0.4"}}, m_metrics.text()};
    }
    if (path.compare(0, 10, "/operator/") == 0) {
        const auto reply =
            m_node.handleOperatorRequest({bearerToken(request), request.method, request.path, request.body});
        return {reply.status, {{"Content-Type", "application/json"}}, reply.body};
    }
    return refusalBeforeSubmit(404, "unknown-path", "there is nothing at \"" + path + "\"");
}

} // namespace monsoonward
