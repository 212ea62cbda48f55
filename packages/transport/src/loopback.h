#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>

/// Free loopback ports for tests.
namespace monsoonward
{

/// @return a port on 127.0.0.1 that was free a moment ago, or 0 on failure. Another process may take it before the
/// caller listens on it.
inline std::uint16_t freePort()
{
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof address;
    const bool bound = bind(fd, reinterpret_cast<sockaddr *>(&address), length) == 0
        && getsockname(fd, reinterpret_cast<sockaddr *>(&address), &length) == 0;
    close(fd);
    return bound ? ntohs(address.sin_port) : 0;
}

} // namespace monsoonward
