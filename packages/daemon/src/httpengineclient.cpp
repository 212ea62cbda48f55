#include "engineclient.h"

#include "httpenginerun.h"

#include <cxxtools/http/client.h>
#include <cxxtools/net/tcpsocket.h>

#include <sstream>

namespace monsoonward
{

namespace
{

constexpr auto probeTimeout = std::chrono::milliseconds(500);

cxxtools::Milliseconds toMilliseconds(std::chrono::milliseconds duration)
{
    return cxxtools::Milliseconds(static_cast<double>(duration.count()));
}

class HttpEngineClient : public EngineClient
{
public:
    std::unique_ptr<EngineRun> makeRun(const Address &engine, const HttpRequest &request) override
    {
        return std::make_unique<HttpEngineRun>(engine, request);
    }

    Result<EngineLoad> queryLoad(const Address &engine) override
    {
        try {
            cxxtools::http::Client client(engine.ip, engine.port);
            const auto timeout = toMilliseconds(probeTimeout);
            const auto &reply = client.get("/metrics", timeout, timeout);
            constexpr unsigned ok = 200;
            if (reply.httpReturnCode() != ok) {
                return Error {ErrorCode::Unavailable, "/metrics: " + std::to_string(reply.httpReturnCode())};
            }
            return parseEngineLoad(reply.body());
        } catch (const std::exception &error) {
            return Error {ErrorCode::Unavailable, error.what()};
        }
    }

    bool isReachable(const Address &engine) override
    {
        try {
            cxxtools::net::TcpSocket socket;
            socket.setTimeout(toMilliseconds(probeTimeout));
            socket.connect(engine.ip, engine.port);
            return true;
        } catch (const std::exception &) {
            return false;
        }
    }
};

bool endsWith(std::string_view text, std::string_view end)
{
    return text.size() >= end.size() && text.substr(text.size() - end.size()) == end;
}

/// Adds a sample of a metric. An engine may report several samples with different labels, which are summed.
void addSample(std::uint32_t &sum, const std::string &value)
{
    std::istringstream in(value);
    double n = 0;
    constexpr double limit = 1e6;
    if (in >> n && n > 0 && n < limit) {
        sum += static_cast<std::uint32_t>(n);
    }
}

} // namespace

std::unique_ptr<EngineClient> makeHttpEngineClient()
{
    return std::make_unique<HttpEngineClient>();
}

Result<EngineLoad> parseEngineLoad(std::string_view metrics)
{
    EngineLoad load;
    bool found = false;
    std::istringstream in {std::string(metrics)};
    std::string line;
    while (std::getline(in, line)) {
        const auto separator = line.rfind(' ');
        if (line.empty() || line[0] == '#' || separator == std::string::npos) {
            continue;
        }
        const auto name = std::string_view(line).substr(0, std::min(line.find('{'), separator));
        if (endsWith(name, "num_requests_running")) {
            addSample(load.running, line.substr(separator + 1));
            found = true;
        } else if (endsWith(name, "num_requests_waiting")) {
            addSample(load.waiting, line.substr(separator + 1));
        }
    }
    if (!found) {
        return Error {ErrorCode::NotFound, "the engine's metrics don't tell num_requests_running"};
    }
    return load;
}

} // namespace monsoonward
