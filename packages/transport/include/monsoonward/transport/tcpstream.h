#pragma once

#include "monsoonward/transport/ioloop.h"

#include <cxxtools/net/tcpserver.h>
#include <cxxtools/net/tcpsocket.h>

#include <array>
#include <string>
#include <string_view>

namespace monsoonward
{

/// @brief Callbacks of a TcpStream, called on the I/O thread.
class TcpStreamHandler
{
public:
    virtual ~TcpStreamHandler() = default;
    virtual void connected() = 0;
    virtual void received(std::string_view bytes) = 0;
    /// The last write() is complete; the next may be started.
    virtual void written() = 0;
    /// The connection was lost; no other callback follows. @param why the reason, for logs
    virtual void closed(const std::string &why) = 0;
};

/// @brief A TCP connection with asynchronous reads and writes on an IoLoop.
class TcpStream : public cxxtools::Connectable
{
public:
    TcpStream(IoLoop &loop, TcpStreamHandler &handler);

    /// Accepts the next pending connection of @p server.
    void accept(cxxtools::net::TcpServer &server);
    void connect(const Address &address);
    /// Writes @p bytes. Only one write may be in progress.
    void write(std::string bytes);
    bool writing() const;
    /// Closes the connection without calling TcpStreamHandler::closed().
    void close();

private:
    void onEstablished();
    void startRead();
    void onConnected(cxxtools::net::TcpSocket &socket);
    void onInput(cxxtools::IODevice &device);
    void onOutput(cxxtools::IODevice &device);
    void fail(const std::string &why);

    static constexpr std::size_t readBufferBytes = std::size_t {64} * 1024;

    IoLoop &m_loop;
    TcpStreamHandler &m_handler;
    cxxtools::net::TcpSocket m_socket;
    std::string m_readBuffer;
    std::string m_writeBuffer;
    std::size_t m_bytesWritten = 0;
    bool m_writing = false;
    bool m_closed = false;
};

} // namespace monsoonward
