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
    std::string path; ///< with the query
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    Duration timeout = std::chrono::seconds(2); ///< over the whole call, waiting for a worker included
    MONSOONWARD_FIELDS(to, method, path, headers, body, timeout)
};

/// @brief Its answer.
struct HttpResponse
{
    unsigned status = 0;
    std::string body;
    MONSOONWARD_FIELDS(status, body)
};

/// @brief Makes HTTP calls on threads of its own, so that the control thread never waits.
///
/// Every call has a connection of its own: a client that reuses one sends a request again when the connection turns out
/// to be closed, and a conditional write must not be sent twice.
///
///     HttpWorkers workers(executor, 4);
///     workers.submit({address, "GET", "/hosts"}, [](const Result<HttpAnswer> &answer) { ... });
class HttpWorkers
{
public:
    using Callback = std::function<void(const Result<HttpResponse> &)>;

    static constexpr std::size_t maxQueuedCalls = 1024;
    static constexpr std::size_t maxAnswerBytes = std::size_t {64} * 1024 * 1024;

    /// @param executor receives every callback; outlives this
    HttpWorkers(Executor &executor, unsigned threads);
    /// Waits for the calls in progress, at most for their timeouts; calls that wait for a worker get Unavailable.
    ~HttpWorkers();
    HttpWorkers(const HttpWorkers &) = delete;
    HttpWorkers &operator=(const HttpWorkers &) = delete;

    /// @param done called exactly once, on the executor. Errors: Unavailable (the call was not sent), Unknown (it may
    /// have taken effect).
    void submit(const HttpCall &call, Callback done);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace monsoonward
