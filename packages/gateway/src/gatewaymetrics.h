#pragma once

#include <monsoonward/values/values.h>

#include <map>
#include <memory>
#include <string>

namespace monsoonward
{

/// @brief How a caller's request ended, as a metric label. Refused: may succeed when it is sent again (429, 503).
/// Denied: fails again unless it is changed.
enum class RequestOutcome { Served, Refused, Denied, Failed, BrokenOff, Abandoned };

std::string textOf(RequestOutcome outcome);

/// @brief Metrics of the gateway, exported in the Prometheus text format. docs/METRICS.md lists their names and units.
class GatewayMetrics
{
public:
    GatewayMetrics();
    ~GatewayMetrics();
    GatewayMetrics(const GatewayMetrics &) = delete;
    GatewayMetrics &operator=(const GatewayMetrics &) = delete;

    /// @param reason why the request was not served, one of a fixed set of words; empty if it was served
    /// @param duration from the request's arrival
    void requestEnded(
        const ServiceName &service, Tier tier, RequestOutcome outcome, const std::string &reason, Duration duration);
    void firstBytesSent(const ServiceName &service, Tier tier, Duration duration);
    /// A request with a prompt was sent to an engine.
    /// @param tokens of the prompt
    /// @param heldTokens of them, which the engine probably holds
    /// @param isForHeldPrompt the engine was cheaper than another one because of them
    void promptSent(const ServiceName &service, double tokens, double heldTokens, bool isForHeldPrompt);
    void attemptEnded(const ServiceName &service, const std::string &end);
    void storeCallEnded(const std::string &table, bool succeeded);
    /// An answer of the store stated an era that is no number.
    void storeEraMalformed();
    void engineLimitMalformed();
    /// A caller's bytes were refused before they were a request.
    /// @param reason one of a fixed set of texts
    void callerRefused(unsigned status, const std::string &reason);
    void tokenCountMalformed();
    /// @param held bytes held for callers and engines
    /// @param waiting number of bodies that wait for memory
    void setMemory(std::size_t held, std::size_t waiting);
    /// A message of another host was dropped because it is malformed, foreign or of an earlier run.
    void peerMessageRejected();
    /// @param ages of the sums in use, by data centre
    void setCentres(const std::map<DataCentreName, Duration> &ages, bool isCollecting);
    /// @param kind of message about streams to another gateway, one of a fixed set of words
    void streamMessageSent(const char *kind);
    /// A caller asked to take up a stream.
    /// @param result one of a fixed set of words
    void takeUpEnded(const std::string &result);
    /// @param known streams whose beginning this gateway knows
    /// @param dropped streams forgotten because there were too many
    void setStreams(std::size_t known, std::uint64_t dropped);
    void setStoreEra(std::uint64_t era);
    /// @param refused number of traits whose requests are refused because they crash engines
    void setCrashSuspects(std::size_t refused);
    /// @param limited engines that state a limit on requests per second
    /// @param ownPerSecond sum of this gateway's shares of their limits, in requests per second
    void setEngineLimits(std::size_t limited, double ownPerSecond);
    void setEngines(std::size_t engineCount, std::size_t gatewayCount);
    void setConfiguration(Revision revision, Duration proofAge);
    void setOpenRequests(std::size_t requests, std::size_t connections);
    void setRetriesLeft(const ServiceName &service, double left);
    void setLogRecordsDropped(std::uint64_t total);
    /// @return all metrics in the Prometheus text format
    std::string text() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace monsoonward
