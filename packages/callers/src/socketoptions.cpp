#include "monsoonward/callers/socketoptions.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace monsoonward
{

namespace
{

constexpr int keepAliveIdleSeconds = 1; // the kernel's minimum
constexpr int keepAliveIntervalSeconds = 1;
constexpr int keepAliveProbes = 2;
constexpr int receiveBufferBytes = 64 * 1024; // what is received and not yet read counts toward the process's memory

void setOption(int socket, int level, int name, int value)
{
    // Best effort: without the option, the daemon's own timeouts still apply.
    static_cast<void>(setsockopt(socket, level, name, &value, sizeof value));
}

} // namespace

void setSocketOptions(boost::asio::ip::tcp::socket &socket, Duration ackTimeout)
{
    const int handle = socket.native_handle();
    setOption(handle, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(handle, IPPROTO_TCP, TCP_KEEPIDLE, keepAliveIdleSeconds);
    setOption(handle, IPPROTO_TCP, TCP_KEEPINTVL, keepAliveIntervalSeconds);
    setOption(handle, IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbes);
    setOption(handle,
              IPPROTO_TCP,
              TCP_USER_TIMEOUT,
              static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(ackTimeout).count()));
}

void limitReceiveBuffer(boost::asio::ip::tcp::socket &socket)
{
    setOption(socket.native_handle(), SOL_SOCKET, SO_RCVBUF, receiveBufferBytes);
}

} // namespace monsoonward
