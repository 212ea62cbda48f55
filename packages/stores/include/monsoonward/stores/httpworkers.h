#pragma once

#include "monsoonward/stores/executor.h"

#include <monsoonward/values/values.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace monsoonward
{

/// @brief One HTTP/1.1 call to a platform service.
struct HttpCall
{
    Address to;
    std::string method;
    std::string path; ///< including the query
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    Duration timeout = std::chrono::seconds(2); ///< of the whole call, including the wait for a worker
    MONSOONWARD_FIELDS(to, method, path, headers, body, timeout)
};

/// @brief The response to an HttpCall.
struct HttpResponse
{
    unsigned status = 0;
    std::string body;
    MONSOONWARD_FIELDS(status, body)
};

/// @brief Pool of threads that make blocking HTTP calls, so that the control thread never blocks.
///
/// Every call opens a new connection: a client that reuses connections resends a request when the server has closed the
/// connection, and a conditional write must not be sent twice.
///
///     HttpWorkers workers(executor, 4);
///     workers.submit({address, "GET", "/hosts"}, [](const Result<HttpResponse> &response) { ... });
class HttpWorkers
{
public:
    using Callback = std::function<void(const Result<HttpResponse> &)>;

    static constexpr std::size_t maxQueuedCalls = 1024;
    static constexpr std::size_t maxResponseBytes = std::size_t {64} * 1024 * 1024;

    /// @param executor runs every callback; must outlive this object
    HttpWorkers(Executor &executor, unsigned threads);
    /// Waits for the calls in progress, at most until their timeouts; queued calls fail with Unavailable.
    ~HttpWorkers();
    HttpWorkers(const HttpWorkers &) = delete;
    HttpWorkers &operator=(const HttpWorkers &) = delete;

    /// @param done is called exactly once, on the executor. Errors: Unavailable (the call was not sent, or the queue is
    /// full), Unknown (it may have taken effect).
    void submit(const HttpCall &call, Callback done);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace monsoonward
