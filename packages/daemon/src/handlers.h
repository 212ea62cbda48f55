#pragma once

#include "entrynode.h"
#include "httplistener.h"

namespace monsoonward
{

/// @brief Callers over HTTP/1.1: a thread waits for the whole answer.
class CallerHandler : public HttpRequestHandler
{
public:
    explicit CallerHandler(EntryNode &node);
    HttpReply answer(const HttpRequest &request, const std::function<bool()> &callerGone) override;

private:
    EntryNode &m_node;
};

/// @brief The admin address: /dump, /metrics and /operator/.
class AdminHandler : public HttpRequestHandler
{
public:
    AdminHandler(Node &node, Metrics &metrics);
    HttpReply answer(const HttpRequest &request, const std::function<bool()> &callerGone) override;

private:
    Node &m_node;
    Metrics &m_metrics;
};

} // namespace monsoonward
