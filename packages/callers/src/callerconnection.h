#pragma once

#include "monsoonward/callers/callerservice.h"
#include "monsoonward/callers/chunklimit.h"
#include "monsoonward/callers/requestframing.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <array>
#include <functional>
#include <optional>

namespace monsoonward
{

/// @brief A caller's HTTP/1.1 connection. It reads one request at a time and sends its response before it reads the
/// next.
class CallerConnection : public ResponseSink, public std::enable_shared_from_this<CallerConnection>
{
public:
    /// @param service, clock must outlive the connection
    /// @param onClosed called once, when the connection is closed
    CallerConnection(CallerService &service,
                     const Clock &clock,
                     boost::asio::ip::tcp::socket socket,
                     std::function<void(CallerConnection *)> onClosed);
    ~CallerConnection() override;
    CallerConnection(const CallerConnection &) = delete;
    CallerConnection &operator=(const CallerConnection &) = delete;

    void start();
    /// Closes the connection if no request is in progress or has arrived. One that arrives later isn't read: its caller
    /// sees a reset.
    /// @param minIdleTime a connection that became idle more recently stays open
    void closeIfIdle(Duration minIdleTime);
    /// Lets the request in progress, if any, send its final response now. One that is still being read is refused.
    /// @return whether there was one in progress
    bool endRequest();
    /// Closes the connection immediately, and tells the exchange in progress, if any.
    void close();

    void respond(CallerResponse response) override;
    void startStream(unsigned status, const boost::beast::http::fields &fields) override;
    bool sendBytes(std::string bytes) override;
    void finishStream() override;
    void abort() override;

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    /// @brief State of the connection.
    enum class Phase {
        Idle, ///< between requests
        Reading, ///< a request is being read
        Responding, ///< a request is being processed, or its response written
        Closing, ///< closed, or input is discarded until the caller closes
    };

    /// @brief What the caller has sent beyond what was read.
    enum class Input {
        None, ///< nothing yet
        Unread, ///< bytes; they hide the end of the connection
        Ended, ///< the end of the connection
    };

    void awaitRequest();
    void startIdleTimer();
    void readHeader();
    void onHeaderRead();
    /// Reads the body as far as the account of memory has room for it.
    void readBody();
    /// @return bytes to be held for the body before more of it is read
    std::size_t bytesToHold() const;
    void awaitMemory();
    void refuseForMemory();
    /// Counts the bytes that are waiting to be written beside those of the request.
    void countPendingBytes();
    void onRequestRead();
    void onReadFailed(const boost::system::error_code &ec);
    void respondWithError(unsigned status, const std::string &reason);
    void watchForDisconnect();
    void onReadable();
    Input peekInput();
    /// Looks for the end of the connection while bytes that are not read yet hide it.
    void pollForDisconnect();
    /// @return whether the caller has closed the connection, whatever is still unread
    bool hasDisconnected();
    void onBytesWritten(const boost::system::error_code &ec);
    void onResponseWritten();
    void startTimer(Duration timeout, std::function<void()> onTimeout);
    void stopTimer();
    void linger();
    void discardInput();
    /// Decides whether the connection is closed after the response, and says so in its headers. Until then the caller
    /// may send another request.
    void setConnectionHeader(boost::beast::http::fields &fields);

    CallerService &m_service;
    const Clock &m_clock;
    boost::asio::ip::tcp::socket m_socket;
    std::function<void(CallerConnection *)> m_onClosed;
    boost::asio::steady_timer m_timer;
    std::uint64_t m_timerNumber = 0; // lets handlers of earlier timers be ignored
    boost::beast::flat_buffer m_buffer;
    ChunkLimit m_chunkLimit;
    std::optional<Parser> m_parser;
    BodyFraming m_framing = BodyFraming::None; // of the request that is read
    boost::beast::http::fields m_fieldsBeforeBody; // of a chunked request
    Phase m_phase = Phase::Idle;
    TimePoint m_idleSince;
    TimePoint m_arrivedAt;
    bool m_keepAlive = false; // the connection may serve another request
    unsigned m_httpVersion = 11; // 10 or 11, as in Beast
    bool m_isHead = false;
    MemoryShare m_requestShare; // of the body that is read, until the final response
    MemoryShare m_responseShare; // of what is written
    boost::asio::steady_timer m_memoryTimer; // while the body waits for memory
    std::optional<TimePoint> m_waitsSince; // for memory
    bool m_isReadingBody = false;
    bool m_isPipelined = false; // the request's first bytes arrived during the one before
    std::shared_ptr<CallerExchange> m_exchange;
    bool m_isWriting = false;
    bool m_isFinishPending = false; // finishStream() was called during a write
    bool m_isAbortPending = false; // abort() was called during a write
    std::optional<boost::beast::http::response<boost::beast::http::string_body>> m_response;
    std::optional<boost::beast::http::response<boost::beast::http::empty_body>> m_responseHead;
    std::optional<boost::beast::http::response_serializer<boost::beast::http::empty_body>> m_headSerializer;
    std::string m_writeBuffer; // the bytes being written
    std::string m_pendingBytes; // to be written after the response headers
    std::array<char, 1024> m_discardBuffer {};
    bool m_hasReportedDiscard = false;
};

} // namespace monsoonward
