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
    onEstablished();
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
    checkInvariant(!m_writing, "one-write", "write() was called while a write is in progress");
    if (m_closed || bytes.empty()) {
        return;
    }
    m_writeBuffer = std::move(bytes);
    m_bytesWritten = 0;
    m_writing = true;
    try {
        m_socket.beginWrite(m_writeBuffer.data(), m_writeBuffer.size());
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

void TcpStream::onEstablished()
{
    const int on = 1;
    setsockopt(m_socket.getFd(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    m_handler.connected();
    startRead();
}

void TcpStream::startRead()
{
    if (m_closed) {
        return;
    }
    m_readBuffer.resize(readBufferBytes);
    m_socket.beginRead(m_readBuffer.data(), m_readBuffer.size());
}

void TcpStream::onConnected(cxxtools::net::TcpSocket &socket)
{
    try {
        socket.endConnect();
        onEstablished();
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
            fail("the peer closed the connection");
            return;
        }
        m_handler.received(std::string_view(m_readBuffer).substr(0, n));
        startRead();
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
        m_bytesWritten += device.endWrite();
        if (m_bytesWritten < m_writeBuffer.size()) {
            device.beginWrite(m_writeBuffer.data() + m_bytesWritten, m_writeBuffer.size() - m_bytesWritten);
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
