#pragma once

#include <monsoonward/values/values.h>

#include <memory>
#include <string>

namespace monsoonward
{

/// @brief How a caller's request ended, for the counters.
enum class RequestOutcome { Served, Refused, Denied, Failed, BrokenOff, Abandoned };

std::string textOf(RequestOutcome outcome);

/// @brief What the gateway measures, as Prometheus text. docs/METRICS.md lists names and units.
class GatewayMetrics
{
public:
    GatewayMetrics();
    ~GatewayMetrics();
    GatewayMetrics(const GatewayMetrics &) = delete;
    GatewayMetrics &operator=(const GatewayMetrics &) = delete;

    /// @param reason of a request that was not served; one of a few fixed words
    void requestEnded(
        const ServiceName &service, Tier tier, RequestOutcome outcome, const std::string &reason, Duration duration);
    void firstBytesSent(const ServiceName &service, Tier tier, Duration duration);
    void attemptEnded(const ServiceName &service, const std::string &end);
    void storeCallEnded(const std::string &table, bool succeeded);
    void setEngines(std::size_t engineCount, std::size_t gatewayCount);
    void setConfiguration(Revision revision, Duration proofAge);
    void setOpenRequests(std::size_t requests, std::size_t connections);
    void setRetriesLeft(const ServiceName &service, double left);
    void setLogRecordsDropped(std::uint64_t total);
    std::string text() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace monsoonward
