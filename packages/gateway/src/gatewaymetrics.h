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
        const ServiceName &service, Tier tier, RequestOutcome outcome, const std::string &reason, Duration length);
    void firstBytes(const ServiceName &service, Tier tier, Duration length);
    void attemptEnded(const ServiceName &service, const std::string &end);
    void storeCall(const std::string &table, bool succeeded);
    void engines(std::size_t known, std::size_t members);
    void configuration(Revision revision, Duration proofAge);
    void openRequests(std::size_t requests, std::size_t connections);
    void retriesLeft(const ServiceName &service, double left);
    void logRecordsDropped(std::uint64_t total);
    std::string text() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace monsoonward
