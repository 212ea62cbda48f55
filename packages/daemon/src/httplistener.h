#pragma once

#include "callerrequest.h"

#include <functional>
#include <memory>

namespace monsoonward
{

/// @brief A request that an HttpRequestHandler has not answered yet.
class PendingReply
{
public:
    virtual ~PendingReply() = default;
    /// Called when the caller has closed its connection.
    virtual void cancel() = 0;
};

/// @brief Answers the requests of an HttpListener. handle() is called on the listener's event loop and must not block.
class HttpRequestHandler
{
public:
    /// Takes the reply. Called once, from any thread.
    using ReplyCallback = std::function<void(HttpReply)>;

    virtual ~HttpRequestHandler() = default;
    /// @return the pending reply, or null if it can't be cancelled
    virtual std::shared_ptr<PendingReply> handle(const HttpRequest &request, ReplyCallback done) = 0;
};

/// @brief Address and limits of an HttpListener.
struct HttpListenerOptions
{
    Address listen;
    std::size_t maxBodyBytes = 0;
    std::size_t maxConnections = 0; ///< further ones wait in the kernel's backlog
    MONSOONWARD_FIELDS(listen, maxBodyBytes, maxConnections)
};

/// @brief An HTTP/1.1 server that runs its event loop on a thread of its own. Answers are not streamed.
class HttpListener
{
public:
    /// @param handler must outlive the listener
    HttpListener(const HttpListenerOptions &options, HttpRequestHandler &handler);
    ~HttpListener();
    HttpListener(const HttpListener &) = delete;
    HttpListener &operator=(const HttpListener &) = delete;

    /// Starts to listen and serve.
    /// @return Unavailable if it can't listen on the address
    Result<void> start();
    /// Cancels the requests in progress, answers them, and closes all connections.
    void stop();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace monsoonward
