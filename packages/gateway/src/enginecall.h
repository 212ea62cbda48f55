#pragma once

#include "enginepool.h"

#include <monsoonward/dispatch/dispatch.h>

#include <boost/beast/http.hpp>

namespace monsoonward
{

/// @brief Status and headers of an engine's answer.
struct ResponseHead
{
    unsigned status = 0;
    boost::beast::http::fields fields;
};

/// @brief Receives the answer of one EngineCall.
class EngineCallHandler
{
public:
    virtual ~EngineCallHandler() = default;
    /// The head of an answer to this request has come; its bytes follow.
    virtual void responseStarted(const ResponseHead &head) = 0;
    /// Bytes of the body have come. The next ones are read when resume() is called.
    virtual void bodyReceived(std::string_view bytes) = 0;
    /// The call has ended; nothing follows.
    virtual void callEnded(AttemptEnd end, const std::string &reason) = 0;
};

/// @brief Sends one request to one engine and reads its answer. Answers to other requests that come late on a kept
/// connection are told apart by the request's ID and dropped.
class EngineCall : public std::enable_shared_from_this<EngineCall>
{
public:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;

    /// @param request complete, with its ID
    /// @param handler outlives the call, or calls cancel()
    EngineCall(EnginePool &pool,
               const HttpDialect &dialect,
               const EngineRecord &engine,
               std::shared_ptr<const Request> request,
               EngineCallHandler &handler);
    EngineCall(const EngineCall &) = delete;
    EngineCall &operator=(const EngineCall &) = delete;

    void start();
    /// Reads on after answerBytes().
    void resume();
    /// Ends the call without a word to the handler; the engine sees its connection close.
    void cancel();
    /// @return whether a byte of the request may have reached the engine
    bool isSent() const;
    const EngineRecord &engine() const;

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    void send();
    void readHeader();
    void onHeaderRead();
    void readBody();
    void onBodyRead(const boost::system::error_code &ec);
    void onResponseComplete();
    void finish(AttemptEnd end, const std::string &reason);
    bool isStaleResponse() const;

    EnginePool &m_pool;
    const HttpDialect &m_dialect;
    EngineRecord m_engine;
    std::shared_ptr<const Request> m_request;
    EngineCallHandler *m_handler; // null once the call has ended
    std::unique_ptr<EngineConnection> m_connection;
    std::optional<boost::beast::http::request_serializer<boost::beast::http::string_body>> m_serializer;
    std::optional<Parser> m_parser;
    std::array<char, 8192> m_bodyBuffer {};
    boost::asio::steady_timer m_connectTimer;
    bool m_isSent = false;
    bool m_isWritten = false;
    bool m_isDiscarding = false; // an answer to another request, or one whose body nobody needs
    AttemptEnd m_endAfterBody = AttemptEnd::Whole;
    bool m_isStaleResponse = false;
};

} // namespace monsoonward
