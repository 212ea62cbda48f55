#include "monsoonward/transport/tcpstream.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace monsoonward
{

TcpStream::TcpStream(IoLoop &loop, TcpStreamHandler &handler)
    : m_loop(loop)
    , m_handler(handler)
{
    cxxtools::connect(m_socket.connected, *this, &TcpStream::onConnected);
    cxxtools::connect(m_socket.inputReady, *this, &TcpStream::onInput);
    cxxtools::connect(m_socket.outputReady, *this, &TcpStream::onOutput);
}

void TcpStream::accept(cxxtools::net::TcpServer &server)
{
    m_socket.accept(server);
    m_socket.setSelector(m_loop.selector());
    begin();
}

void TcpStream::connect(const Address &address)
{
    m_socket.setSelector(m_loop.selector());
    try {
        m_socket.beginConnect(address.ip, address.port);
    } catch (const std::exception &error) {
        fail(error.what());
    }
}

void TcpStream::write(std::string bytes)
{
    checkInvariant(!m_writing, "one-write", "a write began before the last one ended");
    if (m_closed || bytes.empty()) {
        return;
    }
    m_out = std::move(bytes);
    m_written = 0;
    m_writing = true;
    try {
        m_socket.beginWrite(m_out.data(), m_out.size());
    } catch (const std::exception &error) {
        fail(error.what());
    }
}

bool TcpStream::writing() const
{
    return m_writing;
}

void TcpStream::close()
{
    if (!m_closed) {
        m_closed = true;
        m_socket.close();
    }
}

void TcpStream::begin()
{
    const int on = 1;
    setsockopt(m_socket.getFd(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    m_handler.connected();
    read();
}

void TcpStream::read()
{
    if (m_closed) {
        return;
    }
    m_in.resize(readBytes);
    m_socket.beginRead(m_in.data(), m_in.size());
}

void TcpStream::onConnected(cxxtools::net::TcpSocket &socket)
{
    try {
        socket.endConnect();
        begin();
    } catch (const std::exception &error) {
        fail(error.what());
    }
}

void TcpStream::onInput(cxxtools::IODevice &device)
{
    if (m_closed) {
        return;
    }
    try {
        const auto n = device.endRead();
        if (n == 0 && device.eof()) {
            fail("the other side closed the connection");
            return;
        }
        m_handler.received(std::string_view(m_in).substr(0, n));
        read();
    } catch (const std::exception &error) {
        fail(error.what());
    }
}

void TcpStream::onOutput(cxxtools::IODevice &device)
{
    if (m_closed) {
        return;
    }
    try {
        m_written += device.endWrite();
        if (m_written < m_out.size()) {
            device.beginWrite(m_out.data() + m_written, m_out.size() - m_written);
            return;
        }
        m_writing = false;
        m_handler.written();
    } catch (const std::exception &error) {
        fail(error.what());
    }
}

void TcpStream::fail(const std::string &why)
{
    if (m_closed) {
        return;
    }
    close();
    m_handler.closed(why);
}

} // namespace monsoonward
