#pragma once

#include <monsoonward/values/values.h>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace monsoonward
{

/// @brief A whole answer of an HTTP/1.1 server.
struct ChannelResponse
{
    unsigned status = 0;
    std::string body;
    MONSOONWARD_FIELDS(status, body)
};

/// @brief HTTP/1.1 client for whole answers: one call at a time on one connection that is kept. A call that fails
/// closes the connection; it is not sent again.
class HttpChannel
{
public:
    using Callback = std::function<void(const Result<ChannelResponse> &)>;
    static constexpr std::size_t maxResponseBytes = std::size_t {16} * 1024 * 1024;

    HttpChannel(boost::asio::io_context &io, const Address &server);
    ~HttpChannel();
    HttpChannel(const HttpChannel &) = delete;
    HttpChannel &operator=(const HttpChannel &) = delete;

    /// @param body sent as JSON, unless it is empty
    /// @param done called once, unless the channel is destroyed first. Errors: Unavailable (not sent), Unknown.
    void
    call(const std::string &method, const std::string &path, const std::string &body, Duration timeout, Callback done);

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace monsoonward
