#pragma once

#include "monsoonward/callers/callerservice.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <array>
#include <functional>
#include <optional>

namespace monsoonward
{

/// @brief One caller's HTTP/1.1 connection: reads requests one after the other, and answers each before the next.
class CallerConnection : public ResponseSink, public std::enable_shared_from_this<CallerConnection>
{
public:
    /// @param service, clock outlive the connection
    /// @param closed called once when the connection has ended
    CallerConnection(CallerService &service,
                     const Clock &clock,
                     boost::asio::ip::tcp::socket socket,
                     std::function<void(CallerConnection *)> closed);
    ~CallerConnection() override;
    CallerConnection(const CallerConnection &) = delete;
    CallerConnection &operator=(const CallerConnection &) = delete;

    void start();
    /// Closes the connection if no request is in progress on it.
    void closeIfIdle();
    /// Closes the connection at once.
    void cut();

    void respond(CallerResponse answer) override;
    void begin(unsigned status, const boost::beast::http::fields &fields) override;
    void bytes(std::string bytes) override;
    void finish() override;
    void breakOff() override;

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    /// @brief What the connection is doing.
    enum class Phase {
        Idle, ///< between requests
        Reading, ///< a request
        Answering,
        Closing,
    };

    void awaitRequest();
    void readHeader();
    void headerRead();
    void readBody();
    void requestRead();
    void readFailed(const boost::system::error_code &ec);
    void answerError(unsigned status, const std::string &reason);
    void watchForLeaving();
    void readable();
    void written(const boost::system::error_code &ec);
    void answerWritten();
    void expectWithin(Duration length, std::function<void()> late);
    void linger();
    void discard();
    bool closesAfterAnswer() const;

    CallerService &m_service;
    const Clock &m_clock;
    boost::asio::ip::tcp::socket m_socket;
    std::function<void(CallerConnection *)> m_closed;
    boost::asio::steady_timer m_timer;
    boost::beast::flat_buffer m_buffer;
    std::optional<Parser> m_parser;
    Phase m_phase = Phase::Idle;
    TimePoint m_arrived;
    bool m_keepAlive = false; // as the request asks
    unsigned m_version = 11; // of HTTP, as Beast counts it
    bool m_isHead = false;
    std::shared_ptr<CallerExchange> m_exchange;
    bool m_writing = false;
    bool m_finishWanted = false; // the last chunk is due when the write is done
    std::optional<boost::beast::http::response<boost::beast::http::string_body>> m_answer;
    std::optional<boost::beast::http::response<boost::beast::http::empty_body>> m_head;
    std::optional<boost::beast::http::response_serializer<boost::beast::http::empty_body>> m_headSerializer;
    std::string m_bytes; // being written
    std::string m_waitingBytes; // written after the head
    std::array<char, 1024> m_discarded {};
};

} // namespace monsoonward
