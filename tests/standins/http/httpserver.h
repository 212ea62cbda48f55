#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

/// A blocking HTTP/1.1 server for stand-ins: one thread per connection, answers with a length or in chunks.
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

/// @brief Writes one answer: either a single respond(), or begin(), any number of chunk() and end().
class HttpResponder
{
public:
    virtual ~HttpResponder() = default;
    virtual void respond(unsigned status, const std::string &contentType, const std::string &body) = 0;
    virtual void begin(unsigned status, const std::string &contentType) = 0;
    /// @return false when the connection is broken
    virtual bool chunk(const std::string &bytes) = 0;
    virtual void end() = 0;
    /// Closes the connection without completing the answer.
    virtual void cut() = 0;
    /// @return whether the client has closed the connection
    virtual bool clientGone() = 0;
};

using HttpHandler = std::function<void(const HttpRequest &, HttpResponder &)>;

/// @brief Listens on the loopback interface.
class HttpServer
{
public:
    /// @param port 0 selects a free port
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
