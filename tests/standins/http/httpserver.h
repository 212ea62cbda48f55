#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

/// A blocking HTTP/1.1 server for stand-ins: one thread a connection, whole or chunked answers.
namespace standin
{

struct HttpRequest
{
    std::string method;
    std::string target; ///< path with query
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    /// @return the first header of that name (letter case ignored), or an empty string
    std::string header(const std::string &name) const;
};

/// @brief Writes one answer: either respond(), or begin(), chunk()... and end().
class HttpResponder
{
public:
    virtual ~HttpResponder() = default;
    virtual void respond(unsigned status, const std::string &contentType, const std::string &body) = 0;
    virtual void begin(unsigned status, const std::string &contentType) = 0;
    /// @return false when the client has gone
    virtual bool chunk(const std::string &bytes) = 0;
    virtual void end() = 0;
    /// Cuts the connection without ending the answer.
    virtual void cut() = 0;
    /// @return whether the client has closed the connection
    virtual bool clientGone() = 0;
};

using HttpHandler = std::function<void(const HttpRequest &, HttpResponder &)>;

/// @brief Serves on loopback until it is destroyed.
class HttpServer
{
public:
    /// @param port 0: any free one
    HttpServer(std::uint16_t port, HttpHandler handler);
    ~HttpServer();
    std::uint16_t port() const;
    /// Serves on the calling thread; never returns.
    void run();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace standin
