#pragma once

#include "entrynode.h"
#include "httplistener.h"
#include "workerpool.h"

namespace monsoonward
{

/// @brief Callers over HTTP/1.1: each gets its whole answer.
class CallerHandler : public HttpRequestHandler
{
public:
    explicit CallerHandler(EntryNode &node);
    std::shared_ptr<PendingReply> handle(const HttpRequest &request, Done done) override;

private:
    EntryNode &m_node;
};

/// @brief The admin address: /dump, /metrics and /operator/.
class AdminHandler : public HttpRequestHandler
{
public:
    /// @param maxThreads operators' calls that wait for the store at once
    AdminHandler(Node &node, Metrics &metrics, std::size_t maxThreads);
    std::shared_ptr<PendingReply> handle(const HttpRequest &request, Done done) override;

private:
    HttpReply answerOf(const HttpRequest &request);

    Node &m_node;
    Metrics &m_metrics;
    WorkerPool m_workers; // the node answers operators by blocking calls
};

} // namespace monsoonward
