#pragma once

#include "engineclient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <functional>

namespace monsoonward
{

/// @brief A call over HTTP/1.1 on a connection of its own, so that an engine gets each request once.
///
/// Boost.Beast in place of the client of cxxtools, which sends a request again when a reused connection breaks, doesn't
/// see the end of a chunked answer that comes in one piece with data, and allows 4096 bytes of headers.
class HttpEngineRun : public EngineRun
{
public:
    HttpEngineRun(const Address &engine, HttpRequest request);
    EngineRunEnd run(EngineRunHandler &handler) override;
    void cancel() override;

private:
    using ErrorOf = boost::system::error_code;
    using Done = std::function<void(const ErrorOf &)>;

    /// Runs one asynchronous operation to its end, cancellation or silence.
    ErrorOf await(const std::function<void(Done)> &start);
    EngineRunEnd exchange(EngineRunHandler &handler);
    EngineRunEnd broken(const std::string &step, const ErrorOf &ec) const;

    Address m_engine;
    HttpRequest m_request;
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::socket m_socket;
    std::atomic<bool> m_cancelled {false};
};

} // namespace monsoonward
