#pragma once

#include "callerrequest.h"

#include <functional>
#include <memory>

namespace monsoonward
{

/// @brief A request that was passed to an HttpRequestHandler and has no answer yet.
class PendingReply
{
public:
    virtual ~PendingReply() = default;
    /// The caller has closed its connection.
    virtual void cancel() = 0;
};

/// @brief Answers the requests that come to an HttpListener. Calls come on the listener's event loop and don't block.
class HttpRequestHandler
{
public:
    /// Takes the answer, once, from any thread.
    using Done = std::function<void(HttpReply)>;

    virtual ~HttpRequestHandler() = default;
    /// @return the call while its answer is outstanding; null when nothing is left to cancel
    virtual std::shared_ptr<PendingReply> handle(const HttpRequest &request, Done done) = 0;
};

/// @brief Bounds of an HttpListener.
struct HttpListenerOptions
{
    Address listen;
    std::size_t maxBodyBytes = 0;
    std::size_t maxConnections = 0; ///< more wait in the kernel
    MONSOONWARD_FIELDS(listen, maxBodyBytes, maxConnections)
};

/// @brief Whole answers over HTTP/1.1: the callers' listener on an event loop of its own thread.
class HttpListener
{
public:
    /// @param handler outlives the listener
    HttpListener(const HttpListenerOptions &options, HttpRequestHandler &handler);
    ~HttpListener();
    HttpListener(const HttpListener &) = delete;
    HttpListener &operator=(const HttpListener &) = delete;

    /// Listens and serves. Unavailable when the address can't be listened on.
    Result<void> start();
    /// Closes all connections; what is in progress is cancelled.
    void stop();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace monsoonward
