#pragma once

#include "monsoonward/transport/ioloop.h"

#include <cxxtools/net/tcpserver.h>
#include <cxxtools/net/tcpsocket.h>

#include <array>
#include <string>
#include <string_view>

namespace monsoonward
{

/// @brief Told what happens on a TcpStream.
class TcpStreamHandler
{
public:
    virtual ~TcpStreamHandler() = default;
    virtual void connected() = 0;
    virtual void received(std::string_view bytes) = 0;
    /// The bytes of the last write() are on their way; the next may follow.
    virtual void written() = 0;
    /// The last call. @param why for logs
    virtual void closed(const std::string &why) = 0;
};

/// @brief A TCP connection on an IoLoop.
class TcpStream : public cxxtools::Connectable
{
public:
    TcpStream(IoLoop &loop, TcpStreamHandler &handler);

    /// Takes the next waiting connection of @p server.
    void accept(cxxtools::net::TcpServer &server);
    void connect(const Address &address);
    /// Writes @p bytes; one write at a time.
    void write(std::string bytes);
    bool writing() const;
    /// Ends the connection without a call of closed().
    void close();

private:
    void begin();
    void read();
    void onConnected(cxxtools::net::TcpSocket &socket);
    void onInput(cxxtools::IODevice &device);
    void onOutput(cxxtools::IODevice &device);
    void fail(const std::string &why);

    static constexpr std::size_t readBytes = std::size_t {64} * 1024;

    IoLoop &m_loop;
    TcpStreamHandler &m_handler;
    cxxtools::net::TcpSocket m_socket;
    std::string m_in;
    std::string m_out;
    std::size_t m_written = 0;
    bool m_writing = false;
    bool m_closed = false;
};

} // namespace monsoonward
