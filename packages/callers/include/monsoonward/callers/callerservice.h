#pragma once

#include <monsoonward/values/values.h>

#include <boost/beast/http.hpp>

#include <memory>
#include <string>

namespace monsoonward
{

/// @brief A complete request of a caller.
using CallerRequest = boost::beast::http::request<boost::beast::http::string_body>;

/// @brief A complete response to a caller.
struct CallerResponse
{
    unsigned status = 0;
    boost::beast::http::fields fields;
    std::string body;
};

/// @brief Sends the response to one request. Must be called on the listener's event loop.
class ResponseSink
{
public:
    virtual ~ResponseSink() = default;
    /// Sends a complete response.
    virtual void respond(CallerResponse response) = 0;
    /// Sends the headers of a streamed response.
    virtual void startStream(unsigned status, const boost::beast::http::fields &fields) = 0;
    /// Sends a piece of the body. CallerExchange::bytesSent() is called when it has been written to the socket.
    /// @return whether more may be sent before that, as the caller's buffer has room
    virtual bool sendBytes(std::string bytes) = 0;
    /// Completes the streamed response.
    virtual void finishStream() = 0;
    /// Closes the connection, so that the caller sees the response as incomplete.
    virtual void abort() = 0;
};

/// @brief Processes one request until its final response. Called on the listener's event loop.
class CallerExchange
{
public:
    virtual ~CallerExchange() = default;
    /// Starts to process the request; may send the final response right away.
    virtual void start() = 0;
    /// The last piece of the body was written to the socket; the next one may be sent.
    virtual void bytesSent() = 0;
    /// The process is about to end: sends the final response now, or aborts a response that has started.
    virtual void endNow() = 0;
    /// The connection was closed. The sink must not be used any more.
    virtual void callerDisconnected() = 0;
};

/// @brief Processes the requests that a CallerListener reads.
class CallerService
{
public:
    virtual ~CallerService() = default;
    /// @return the limits for connections and requests from now on
    virtual CallerLimits limits() const = 0;
    /// @return whether connections are to be closed after the response in progress
    virtual bool isStopping() const = 0;
    /// @param arrivedAt when the request's header was read
    /// @param sink valid until the final response or CallerExchange::callerDisconnected()
    virtual std::shared_ptr<CallerExchange>
    makeExchange(CallerRequest request, TimePoint arrivedAt, ResponseSink &sink) = 0;
    /// @return the response to a request that could not be read completely and therefore was not processed
    virtual CallerResponse errorResponse(unsigned status, const std::string &reason) = 0;
    /// A caller sent bytes after the end of its connection, and they were dropped. Called once for a connection.
    /// @param bytes received first; more may follow
    virtual void inputDiscarded(std::size_t bytes) = 0;
    /// @return the account of the bytes that are held for callers; null if they aren't counted
    virtual MemoryAccount *memory()
    {
        return nullptr;
    }
};

} // namespace monsoonward
