#pragma once

#include "callerrequest.h"

#include <functional>
#include <memory>

namespace monsoonward
{

/// @brief Answers the requests that come to an HttpListener. Calls come on the server's threads, several at once.
class HttpRequestHandler
{
public:
    virtual ~HttpRequestHandler() = default;
    /// @param callerGone whether the caller has closed its connection
    virtual HttpReply answer(const HttpRequest &request, const std::function<bool()> &callerGone) = 0;
};

/// @brief Bounds of an HttpListener.
struct HttpListenerOptions
{
    Address listen;
    std::size_t maxBodyBytes = 0;
    unsigned maxThreads = 0; ///< one for each request in progress
    MONSOONWARD_FIELDS(listen, maxBodyBytes, maxThreads)
};

/// @brief HTTP/1.1 by the server of cxxtools, which decodes percent-encoded paths: a path is encoded again, and "%2F"
/// becomes "/". Chunked requests are refused with 411, both kinds of framing at once with 400.
class HttpListener
{
public:
    HttpListener(const HttpListenerOptions &options, HttpRequestHandler &handler);
    ~HttpListener();
    HttpListener(const HttpListener &) = delete;
    HttpListener &operator=(const HttpListener &) = delete;

    /// Listens and serves. Unavailable when the address can't be listened on.
    Result<void> start();
    void stop();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

/// @return @p path with every byte percent-encoded that may not stand in a path
std::string encodePath(const std::string &path);

} // namespace monsoonward
