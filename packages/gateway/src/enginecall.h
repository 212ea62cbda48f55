#pragma once

#include "enginepool.h"

#include <monsoonward/dispatch/dispatch.h>

#include <boost/beast/http.hpp>

namespace monsoonward
{

/// @brief Status and headers of an engine's response.
struct ResponseHead
{
    unsigned status = 0;
    boost::beast::http::fields fields;
};

/// @brief Receives the response of one EngineCall.
class EngineCallHandler
{
public:
    virtual ~EngineCallHandler() = default;
    /// Called right before the request is written, which may be long after start().
    /// @return why the request must not be sent any more; empty if it may be sent
    virtual std::string reasonNotToSend() = 0;
    /// The engine said in a response that it is leaving.
    virtual void engineLeaving() = 0;
    /// The engine rejected a request and asked for no more during @p length.
    virtual void pauseRequested(Duration length) = 0;
    /// A response of the engine to this request stated how many requests per second it takes from all gateways.
    /// Nothing: a success that states no limit.
    virtual void rateLimitStated(std::optional<double> perSecond) = 0;
    /// A response stated such a limit that can't be read.
    virtual void rateLimitMalformed(const std::string &reason) = 0;
    /// The engine ended the connection before the response was complete: it may have crashed. callEnded() follows.
    virtual void connectionLost() = 0;
    /// The engine's host refused the connection: no engine listens there. callEnded() follows.
    virtual void connectionRefused() = 0;
    /// The response headers have arrived; the body follows.
    virtual void responseStarted(const ResponseHead &head) = 0;
    /// Part of the body has arrived. No more is read until resume() is called.
    virtual void bodyReceived(std::string_view bytes) = 0;
    /// The call has ended; no further callback follows.
    virtual void callEnded(AttemptOutcome outcome, const std::string &reason) = 0;
};

/// @brief A request to an engine. It refers to the body of the caller's request.
struct EngineRequest : boost::beast::http::request<boost::beast::http::span_body<const char>>
{
    std::shared_ptr<const void> bodyOwner;
};

/// @brief Sends one request to one engine and reads the response. Late responses to earlier requests on a reused
/// connection are recognized by their request ID and discarded. On a connection that was used before, a response
/// without a request ID may be such a late one, so nothing is concluded from it.
class EngineCall : public std::enable_shared_from_this<EngineCall>
{
public:
    using Request = EngineRequest;

    /// @param request complete, including its request ID
    /// @param handler must outlive the call, or cancel() must be called before it ends
    EngineCall(EnginePool &pool,
               const HttpDialect &dialect,
               const EngineRecord &engine,
               std::shared_ptr<const Request> request,
               EngineCallHandler &handler);
    EngineCall(const EngineCall &) = delete;
    EngineCall &operator=(const EngineCall &) = delete;

    void start();
    /// Reads more of the body after bodyReceived().
    void resume();
    /// Ends the call without notifying the handler, and closes the connection to the engine.
    void cancel();
    /// @return whether any part of the request may have reached the engine
    bool isSent() const;
    const EngineRecord &engine() const;
    /// @return the run of the engine that answers; nothing while connecting
    std::optional<ConnectedRun> connectedRun() const;

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    void send();
    /// @return of the request ID
    std::uint64_t requestHash() const;
    void readHeader();
    void onHeaderRead(std::size_t bytes);
    void readBody();
    void onBodyRead(const boost::system::error_code &ec, std::size_t bytesRead);
    /// Parses what has already arrived, as far as the buffer has room for the body.
    /// @return number of bytes parsed
    std::size_t parseReceived();
    /// Counts bytes that are no part of the response.
    /// @return whether more may be read; if not, the call has ended
    bool discard(std::size_t bytes);
    /// Ends the call because the rest of the response is invalid or too long.
    void finishInvalid(const std::string &reason);
    void limitRejectionTime();
    void onReadFailed(const boost::system::error_code &ec);
    void onResponseComplete();
    /// Calls onResponseComplete() again in a moment, a limited number of times.
    void awaitRequestTaken();
    void notifyOfHeaders();
    void notifyOfRateLimit();
    void finish(AttemptOutcome outcome, const std::string &reason);
    bool isStaleResponse() const;
    bool isAttributable() const;

    EnginePool &m_pool;
    const HttpDialect &m_dialect;
    EngineRecord m_engine;
    std::shared_ptr<const Request> m_request;
    EngineCallHandler *m_handler; // null once the call has ended
    std::unique_ptr<EngineConnection> m_connection;
    std::optional<boost::beast::http::request_serializer<boost::beast::http::span_body<const char>>> m_serializer;
    std::optional<Parser> m_parser;
    std::array<char, 8192> m_bodyBuffer {};
    boost::asio::steady_timer
        m_timer; // while connecting, reading the body of a rejection, or after the end of the connection
    bool m_isSent = false;
    bool m_isWritten = false; // the whole request was written
    bool m_hasWriteFailed = false;
    unsigned m_checksAfterEnd = 0; // whether the request was taken, after a response that ended with its connection
    bool m_isDiscarding = false; // stale, or a rejection whose body is not needed
    AttemptOutcome m_outcomeAfterBody = AttemptOutcome::Complete; // reported when the body has been read
    boost::system::error_code m_parseError; // of bytes after those that were passed on
    std::uint64_t m_discardedBytes = 0;
    std::uint64_t m_bodyBytes = 0;
    std::uint64_t m_framingBytes = 0; // of the body: chunk sizes, extensions and trailers
    bool m_isStaleResponse = false; // the response belongs to another request
};

} // namespace monsoonward
