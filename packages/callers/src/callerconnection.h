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
    void close();

    void respond(CallerResponse response) override;
    void startStream(unsigned status, const boost::beast::http::fields &fields) override;
    void sendBytes(std::string bytes) override;
    void finishStream() override;
    void abort() override;

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    /// @brief What the connection is doing.
    enum class Phase {
        Idle, ///< between requests
        Reading, ///< a request
        Responding,
        Closing,
    };

    void awaitRequest();
    void readHeader();
    void onHeaderRead();
    void readBody();
    void onRequestRead();
    void onReadFailed(const boost::system::error_code &ec);
    void respondWithError(unsigned status, const std::string &reason);
    void watchForDisconnect();
    void onReadable();
    void onBytesWritten(const boost::system::error_code &ec);
    void onResponseWritten();
    void startTimer(Duration length, std::function<void()> onTimeout);
    void linger();
    void discardInput();
    bool closesAfterResponse() const;

    CallerService &m_service;
    const Clock &m_clock;
    boost::asio::ip::tcp::socket m_socket;
    std::function<void(CallerConnection *)> m_closed;
    boost::asio::steady_timer m_timer;
    boost::beast::flat_buffer m_buffer;
    std::optional<Parser> m_parser;
    Phase m_phase = Phase::Idle;
    TimePoint m_arrivedAt;
    bool m_keepAlive = false; // as the request asks
    unsigned m_httpVersion = 11; // of HTTP, as Beast counts it
    bool m_isHead = false;
    std::shared_ptr<CallerExchange> m_exchange;
    bool m_isWriting = false;
    bool m_isFinishPending = false; // the last chunk is due when the write is done
    std::optional<boost::beast::http::response<boost::beast::http::string_body>> m_response;
    std::optional<boost::beast::http::response<boost::beast::http::empty_body>> m_responseHead;
    std::optional<boost::beast::http::response_serializer<boost::beast::http::empty_body>> m_headSerializer;
    std::string m_writeBuffer; // being written
    std::string m_pendingBytes; // written after the head
    std::array<char, 1024> m_discardBuffer {};
};

} // namespace monsoonward
