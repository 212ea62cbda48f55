#pragma once

#include <monsoonward/values/values.h>

#include <boost/asio/io_context.hpp>
#include <boost/beast/http/fields.hpp>

#include <functional>
#include <memory>
#include <string>

namespace monsoonward
{

/// @brief A complete response of an HTTP/1.1 server.
struct ChannelResponse
{
    unsigned status = 0;
    boost::beast::http::fields headers;
    std::string body;
};

/// @brief How long a call may wait. A response that goes on arriving has no time limit: one that is cut off would be
/// asked for again from its first byte.
struct CallTimes
{
    Duration begin {}; ///< until the first byte of the response
    Duration progress {}; ///< then for each further HttpChannel::minProgressBytes, or the end
    MONSOONWARD_FIELDS(begin, progress)
};

/// @brief HTTP/1.1 client that reads complete responses. It makes one call at a time over one persistent connection. A
/// failed call closes the connection and is not retried.
class HttpChannel
{
public:
    using Callback = std::function<void(const Result<ChannelResponse> &)>;
    static constexpr std::size_t maxResponseBytes = std::size_t {16} * 1024 * 1024;
    static constexpr std::size_t minProgressBytes = std::size_t {4} * 1024; ///< a slower server counts as silent

    HttpChannel(boost::asio::io_context &io, const Address &server);
    ~HttpChannel();
    HttpChannel(const HttpChannel &) = delete;
    HttpChannel &operator=(const HttpChannel &) = delete;

    /// @param body JSON, or empty for a request without body
    /// @param done called once, unless the channel is destroyed first. Errors: Unavailable if nothing was sent,
    /// otherwise Unknown.
    void call(const std::string &method,
              const std::string &path,
              const std::string &body,
              const CallTimes &times,
              Callback done);

    /// Abandons the call in progress, if any: its callback is not called, and the connection is closed.
    void cancel();
    /// @return whether the response to the call in progress has begun to arrive
    bool isReceiving() const;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace monsoonward
