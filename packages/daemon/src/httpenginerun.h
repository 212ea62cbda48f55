#pragma once

#include "engineclient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <functional>

namespace monsoonward
{

/// @brief Runs one HTTP/1.1 request on a new connection, so that the engine receives it at most once.
///
/// Uses Boost.Beast instead of the cxxtools HTTP client. The cxxtools client resends a request when a reused connection
/// breaks, misses the end of a chunked answer if the last chunk arrives together with data, and accepts only 4096 bytes
/// of headers.
class HttpEngineRun : public EngineRun
{
public:
    HttpEngineRun(const Address &engine, HttpRequest request);
    EngineRunEnd run(EngineRunHandler &handler) override;
    void cancel() override;

private:
    using IoError = boost::system::error_code;
    using IoCallback = std::function<void(const IoError &)>;

    /// Runs one asynchronous operation until it completes, is cancelled or times out.
    IoError runOperation(const std::function<void(IoCallback)> &start);
    EngineRunEnd exchange(EngineRunHandler &handler);
    EngineRunEnd interruptedRun(const std::string &step, const IoError &ec) const;

    Address m_engine;
    HttpRequest m_request;
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::socket m_socket;
    std::atomic<bool> m_cancelled {false};
};

} // namespace monsoonward
