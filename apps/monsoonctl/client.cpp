#include "client.h"

#include <future>

namespace monsoonctl
{

namespace
{

/// The daemon takes up to 10 s to find out whether a write whose response was lost took effect.
constexpr monsoonward::Duration callTimeout = std::chrono::seconds(15);

/// Runs each task immediately, on the thread that posts it.
class InlineExecutor : public monsoonward::Executor
{
public:
    void post(std::function<void()> task) override
    {
        task();
    }
};

} // namespace

Client::Client(const monsoonward::Address &address, const std::string &token)
    : m_address(address)
    , m_token(token)
{
}

monsoonward::Result<monsoonward::HttpResponse>
Client::call(const std::string &method, const std::string &path, const std::string &body) const
{
    monsoonward::HttpCall call {m_address, method, path, {{"Content-Type", "application/json"}}, body, callTimeout};
    if (!m_token.empty()) {
        call.headers.emplace_back("Authorization", "Bearer " + m_token);
    }
    std::promise<monsoonward::Result<monsoonward::HttpResponse>> promise;
    auto response = promise.get_future();
    InlineExecutor executor;
    monsoonward::HttpWorkers workers(executor, 1);
    workers.submit(call, [&promise](const auto &result) { promise.set_value(result); });
    return response.get();
}

} // namespace monsoonctl
