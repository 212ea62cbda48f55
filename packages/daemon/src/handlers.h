#pragma once

#include "entrynode.h"
#include "httplistener.h"
#include "workerpool.h"

namespace monsoonward
{

/// @brief Submits callers' HTTP/1.1 requests to the entry and replies once the answer is complete.
class CallerHandler : public HttpRequestHandler
{
public:
    explicit CallerHandler(EntryNode &node);
    std::shared_ptr<PendingReply> handle(const HttpRequest &request, ReplyCallback done) override;

private:
    EntryNode &m_node;
};

/// @brief Serves the admin address: /dump, /metrics and /operator/.
class AdminHandler : public HttpRequestHandler
{
public:
    /// @param maxThreads number of requests handled at the same time; operator requests block while they wait for the
    /// store
    AdminHandler(Node &node, Metrics &metrics, std::size_t maxThreads);
    std::shared_ptr<PendingReply> handle(const HttpRequest &request, ReplyCallback done) override;

private:
    HttpReply makeReply(const HttpRequest &request);

    Node &m_node;
    Metrics &m_metrics;
    WorkerPool m_workers; // Node::handleOperatorRequest() and Node::dump() block
};

} // namespace monsoonward
