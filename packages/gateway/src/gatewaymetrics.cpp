#include "gatewaymetrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace monsoonward
{

namespace
{

const prometheus::Histogram::BucketBoundaries secondsBuckets {
    0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 2, 4, 8, 16};

std::string tierText(Tier tier)
{
    return std::to_string(tier.level());
}

template<class Builder>
auto &family(prometheus::Registry &registry, Builder builder, const char *name, const char *help)
{
    return builder.Name(name).Help(help).Register(registry);
}

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

std::string textOf(RequestOutcome outcome)
{
    switch (outcome) {
    case RequestOutcome::Served:
        return "served";
    case RequestOutcome::Refused:
        return "refused";
    case RequestOutcome::Denied:
        return "denied";
    case RequestOutcome::Failed:
        return "failed";
    case RequestOutcome::BrokenOff:
        return "broken-off";
    case RequestOutcome::Abandoned:
        break;
    }
    return "abandoned";
}

class GatewayMetrics::Impl
{
public:
    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter> &requests = family(registry,
                                                               prometheus::BuildCounter(),
                                                               "monsoonward_gateway_requests_total",
                                                               "Callers' requests by how they ended");
    prometheus::Family<prometheus::Histogram> &durations = family(registry,
                                                                  prometheus::BuildHistogram(),
                                                                  "monsoonward_gateway_request_seconds",
                                                                  "Time from a request's arrival to its end");
    prometheus::Family<prometheus::Histogram> &firstBytes =
        family(registry,
               prometheus::BuildHistogram(),
               "monsoonward_gateway_first_bytes_seconds",
               "Time from a request's arrival to the answer's first bytes");
    prometheus::Family<prometheus::Counter> &attempts = family(registry,
                                                               prometheus::BuildCounter(),
                                                               "monsoonward_gateway_attempts_total",
                                                               "Sends to engines by how they ended");
    prometheus::Family<prometheus::Counter> &storeCalls = family(registry,
                                                                 prometheus::BuildCounter(),
                                                                 "monsoonward_gateway_store_calls_total",
                                                                 "Calls of the fleet's store by table and result");
    prometheus::Family<prometheus::Counter> &malformedEras = family(registry,
                                                                    prometheus::BuildCounter(),
                                                                    "monsoonward_gateway_store_era_malformed_total",
                                                                    "Answers of the store whose era is no number");
    prometheus::Family<prometheus::Counter> &malformedLimits =
        family(registry,
               prometheus::BuildCounter(),
               "monsoonward_gateway_engine_limit_malformed_total",
               "Engines' responses whose rate limit can't be read");
    prometheus::Family<prometheus::Counter> &callerRefusals =
        family(registry,
               prometheus::BuildCounter(),
               "monsoonward_gateway_caller_refusals_total",
               "Callers' bytes that were refused before they were a request, by status and reason");
    prometheus::Family<prometheus::Counter> &malformedTokenCounts =
        family(registry,
               prometheus::BuildCounter(),
               "monsoonward_gateway_token_count_malformed_total",
               "Requests whose token counts can't be read");
    prometheus::Family<prometheus::Counter> &rejectedMessages =
        family(registry,
               prometheus::BuildCounter(),
               "monsoonward_gateway_peer_messages_rejected_total",
               "Messages between gateways that were dropped as malformed or foreign");
    prometheus::Family<prometheus::Gauge> &sumAges = family(registry,
                                                            prometheus::BuildGauge(),
                                                            "monsoonward_gateway_centre_sum_age_seconds",
                                                            "Time since the sums of a data centre arrived");
    prometheus::Family<prometheus::Counter> &promptTokens =
        family(registry,
               prometheus::BuildCounter(),
               "monsoonward_gateway_prompt_tokens_total",
               "Prompt tokens sent, and those that engines probably held");
    prometheus::Family<prometheus::Counter> &heldPromptChoices =
        family(registry,
               prometheus::BuildCounter(),
               "monsoonward_gateway_held_prompt_choices_total",
               "Requests sent to an engine that is cheaper because it holds the beginning of the prompt");
    prometheus::Family<prometheus::Counter> &streamMessages =
        family(registry,
               prometheus::BuildCounter(),
               "monsoonward_gateway_stream_messages_total",
               "Messages about streams to other gateways by kind");
    prometheus::Family<prometheus::Counter> &takeUps = family(registry,
                                                              prometheus::BuildCounter(),
                                                              "monsoonward_gateway_take_ups_total",
                                                              "Requests that take up a stream by result");
    prometheus::Family<prometheus::Gauge> &gauges =
        family(registry, prometheus::BuildGauge(), "monsoonward_gateway_state", "Present values, by name");
    prometheus::Family<prometheus::Gauge> &retries = family(registry,
                                                            prometheus::BuildGauge(),
                                                            "monsoonward_gateway_retries_left",
                                                            "Retries that this daemon may still spend");
};

GatewayMetrics::GatewayMetrics()
    : m_impl(std::make_unique<Impl>())
{
}

GatewayMetrics::~GatewayMetrics() = default;

void GatewayMetrics::requestEnded(
    const ServiceName &service, Tier tier, RequestOutcome outcome, const std::string &reason, Duration duration)
{
    m_impl->requests
        .Add({{"service", service.text()}, {"tier", tierText(tier)}, {"outcome", textOf(outcome)}, {"reason", reason}})
        .Increment();
    m_impl->durations
        .Add({{"service", service.text()}, {"tier", tierText(tier)}, {"outcome", textOf(outcome)}}, secondsBuckets)
        .Observe(seconds(duration));
}

void GatewayMetrics::firstBytesSent(const ServiceName &service, Tier tier, Duration duration)
{
    m_impl->firstBytes.Add({{"service", service.text()}, {"tier", tierText(tier)}}, secondsBuckets)
        .Observe(seconds(duration));
}

void GatewayMetrics::promptSent(const ServiceName &service, double tokens, double heldTokens, bool isForHeldPrompt)
{
    if (tokens <= 0) {
        return;
    }
    m_impl->promptTokens.Add({{"service", service.text()}, {"state", "sent"}}).Increment(tokens);
    m_impl->promptTokens.Add({{"service", service.text()}, {"state", "held"}}).Increment(heldTokens);
    if (isForHeldPrompt) {
        m_impl->heldPromptChoices.Add({{"service", service.text()}}).Increment();
    }
}

void GatewayMetrics::attemptEnded(const ServiceName &service, const std::string &end)
{
    m_impl->attempts.Add({{"service", service.text()}, {"end", end}}).Increment();
}

void GatewayMetrics::storeCallEnded(const std::string &table, bool succeeded)
{
    m_impl->storeCalls.Add({{"table", table}, {"result", succeeded ? "answered" : "failed"}}).Increment();
}

void GatewayMetrics::storeEraMalformed()
{
    m_impl->malformedEras.Add({}).Increment();
}

void GatewayMetrics::engineLimitMalformed()
{
    m_impl->malformedLimits.Add({}).Increment();
}

void GatewayMetrics::callerRefused(unsigned status, const std::string &reason)
{
    m_impl->callerRefusals.Add({{"status", std::to_string(status)}, {"reason", reason}}).Increment();
}

void GatewayMetrics::tokenCountMalformed()
{
    m_impl->malformedTokenCounts.Add({}).Increment();
}

void GatewayMetrics::setMemory(std::size_t held, std::size_t waiting)
{
    m_impl->gauges.Add({{"name", "held_bytes"}}).Set(static_cast<double>(held));
    m_impl->gauges.Add({{"name", "bodies_waiting"}}).Set(static_cast<double>(waiting));
}

void GatewayMetrics::peerMessageRejected()
{
    m_impl->rejectedMessages.Add({}).Increment();
}

void GatewayMetrics::setCentres(const std::map<DataCentreName, Duration> &ages, bool isCollecting)
{
    m_impl->gauges.Add({{"name", "collecting"}}).Set(isCollecting ? 1 : 0);
    for (const auto &[dataCentre, age] : ages) {
        m_impl->sumAges.Add({{"data_centre", dataCentre.text()}}).Set(seconds(age));
    }
}

void GatewayMetrics::streamMessageSent(const char *kind)
{
    m_impl->streamMessages.Add({{"kind", kind}}).Increment();
}

void GatewayMetrics::takeUpEnded(const std::string &result)
{
    m_impl->takeUps.Add({{"result", result}}).Increment();
}

void GatewayMetrics::setStreams(std::size_t known, std::uint64_t dropped)
{
    m_impl->gauges.Add({{"name", "streams_known"}}).Set(static_cast<double>(known));
    m_impl->gauges.Add({{"name", "streams_dropped"}}).Set(static_cast<double>(dropped));
}

void GatewayMetrics::setStoreEra(std::uint64_t era)
{
    m_impl->gauges.Add({{"name", "store_era"}}).Set(static_cast<double>(era));
}

void GatewayMetrics::setCrashSuspects(std::size_t refused)
{
    m_impl->gauges.Add({{"name", "crash_suspects"}}).Set(static_cast<double>(refused));
}

void GatewayMetrics::setEngineLimits(std::size_t limited, double ownPerSecond)
{
    m_impl->gauges.Add({{"name", "limited_engines"}}).Set(static_cast<double>(limited));
    m_impl->gauges.Add({{"name", "limited_engines_own_per_second"}}).Set(ownPerSecond);
}

void GatewayMetrics::setEngines(std::size_t engineCount, std::size_t gatewayCount)
{
    m_impl->gauges.Add({{"name", "engines"}}).Set(static_cast<double>(engineCount));
    m_impl->gauges.Add({{"name", "daemons"}}).Set(static_cast<double>(gatewayCount));
}

void GatewayMetrics::setConfiguration(Revision revision, Duration proofAge)
{
    m_impl->gauges.Add({{"name", "configuration_revision"}}).Set(static_cast<double>(revision));
    m_impl->gauges.Add({{"name", "configuration_proof_age_seconds"}}).Set(seconds(proofAge));
}

void GatewayMetrics::setOpenRequests(std::size_t requests, std::size_t connections)
{
    m_impl->gauges.Add({{"name", "open_requests"}}).Set(static_cast<double>(requests));
    m_impl->gauges.Add({{"name", "caller_connections"}}).Set(static_cast<double>(connections));
}

void GatewayMetrics::setRetriesLeft(const ServiceName &service, double left)
{
    m_impl->retries.Add({{"service", service.text()}}).Set(left);
}

void GatewayMetrics::setLogRecordsDropped(std::uint64_t total)
{
    m_impl->gauges.Add({{"name", "log_records_dropped"}}).Set(static_cast<double>(total));
}

std::string GatewayMetrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_impl->registry.Collect());
}

} // namespace monsoonward
