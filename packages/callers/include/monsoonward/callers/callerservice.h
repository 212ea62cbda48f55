#pragma once

#include <monsoonward/values/values.h>

#include <boost/beast/http.hpp>

#include <memory>
#include <string>

namespace monsoonward
{

/// @brief A caller's request, read to its end.
using CallerRequest = boost::beast::http::request<boost::beast::http::string_body>;

/// @brief A whole answer to a caller.
struct CallerResponse
{
    unsigned status = 0;
    boost::beast::http::fields fields;
    std::string body;
};

/// @brief Where the answer to one request goes. Calls come on the listener's event loop.
class ResponseSink
{
public:
    virtual ~ResponseSink() = default;
    /// The whole answer.
    virtual void respond(CallerResponse response) = 0;
    /// The head of an answer whose bytes follow as they come.
    virtual void startStream(unsigned status, const boost::beast::http::fields &fields) = 0;
    /// More bytes; CallerExchange::taken() is called when the caller has taken them.
    virtual void sendBytes(std::string bytes) = 0;
    /// The answer is complete.
    virtual void finishStream() = 0;
    /// The answer stays incomplete: the connection is closed.
    virtual void abort() = 0;
};

/// @brief One request from its arrival to its final answer. Calls come on the listener's event loop.
class CallerExchange
{
public:
    virtual ~CallerExchange() = default;
    /// May give the final answer at once.
    virtual void start() = 0;
    /// The caller has taken the bytes that it was given last.
    virtual void bytesSent() = 0;
    /// The caller has closed its connection. The sink must not be used any more.
    virtual void callerDisconnected() = 0;
};

/// @brief What stands behind a CallerListener.
class CallerService
{
public:
    virtual ~CallerService() = default;
    /// @return the bounds in force now
    virtual CallerLimits limits() const = 0;
    /// @return whether connections are to be closed after the answer in progress
    virtual bool isStopping() const = 0;
    /// @param arrivedAt when the header was read
    /// @param sink outlives the exchange, or the exchange is told by callerGone()
    virtual std::shared_ptr<CallerExchange>
    makeExchange(CallerRequest request, TimePoint arrivedAt, ResponseSink &sink) = 0;
    /// @return the answer to a request that was not read to its end; nothing has run
    virtual CallerResponse errorResponse(unsigned status, const std::string &reason) = 0;
};

} // namespace monsoonward
