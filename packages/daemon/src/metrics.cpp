#include "monsoonward/daemon/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <sstream>

namespace monsoonward
{

namespace
{

using prometheus::Counter;
using prometheus::Family;
using prometheus::Gauge;
using prometheus::Histogram;

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

const Histogram::BucketBoundaries latencyBuckets {
    0.001, 0.005, 0.02, 0.05, 0.1, 0.25, 0.59, 1, 2.5, 5, 10, 30, 60}; // s
const Histogram::BucketBoundaries storeBuckets {0.001, 0.005, 0.02, 0.1, 0.5, 2}; // s

std::string nameOf(LinkCause cause)
{
    switch (cause) {
    case LinkCause::Control:
        return "control";
    case LinkCause::Reservations:
        return "reservations";
    case LinkCause::Bodies:
        return "bodies";
    case LinkCause::Answers:
        return "answers";
    case LinkCause::Configuration:
        return "configuration";
    }
    return "control";
}

std::string nameOf(Tier tier)
{
    return std::to_string(tier.level());
}

} // namespace

class Metrics::Impl
{
public:
    Family<Counter> &counters(const char *name, const char *help)
    {
        return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
    }

    Family<Gauge> &gauges(const char *name, const char *help)
    {
        return prometheus::BuildGauge().Name(name).Help(help).Register(registry);
    }

    Family<Histogram> &histograms(const char *name, const char *help)
    {
        return prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
    }

    prometheus::Registry registry;
    Family<Counter> &requests = counters("monsoonward_requests_total", "Requests ended, by service, tier and verdict");
    Family<Counter> &goodput = counters("monsoonward_goodput_total", "Requests completed within their deadline");
    Family<Counter> &refusals = counters("monsoonward_refusals_total", "Requests without an answer, by reason");
    Family<Histogram> &requestSeconds =
        histograms("monsoonward_request_seconds", "Time from arrival to the answer's end");
    Family<Histogram> &firstTokenSeconds = histograms("monsoonward_first_token_seconds", "Time to the first token");
    Family<Counter> &prefillTokens =
        counters("monsoonward_prefill_tokens_total", "Prompt tokens, by what became of them");
    Family<Gauge> &waitingRequests = gauges("monsoonward_waiting_requests", "Requests that wait, by service and tier");
    Family<Gauge> &slots = gauges("monsoonward_slots", "Slots of a target, free and running");
    Family<Counter> &linkBytes = counters("monsoonward_link_bytes_total", "Bytes sent to another region, by cause");
    Family<Counter> &peerBytes = counters("monsoonward_peer_bytes_total", "Bytes between daemons, by direction");
    Family<Counter> &storeCalls =
        counters("monsoonward_store_calls_total", "Calls of the platform, by call and result");
    Family<Histogram> &storeSeconds = histograms("monsoonward_store_seconds", "Length of the platform's calls");
    Family<Counter> &events = counters("monsoonward_events_total", "Log events, by number");
    Family<Gauge> &revision = gauges("monsoonward_configuration_revision", "Revision in force");
};

Metrics::Metrics()
    : m_impl(std::make_unique<Impl>())
{
}

Metrics::~Metrics() = default;

void Metrics::recordRequestEnd(const RequestEnd &end)
{
    const prometheus::Labels labels {{"service", end.service.text()}, {"tier", nameOf(end.tier)}};
    auto withVerdict = labels;
    withVerdict["verdict"] = textOf(end.verdict);
    m_impl->requests.Add(withVerdict).Increment();
    if (end.reason) {
        auto withReason = labels;
        withReason["reason"] = textOf(*end.reason);
        m_impl->refusals.Add(withReason).Increment();
        return;
    }
    if (end.withinDeadline) {
        m_impl->goodput.Add(labels).Increment();
    }
    m_impl->requestSeconds.Add(labels, latencyBuckets).Observe(secondsOf(end.total));
    if (end.toFirstToken > Duration {}) {
        m_impl->firstTokenSeconds.Add(labels, latencyBuckets).Observe(secondsOf(end.toFirstToken));
    }
}

void Metrics::addPrefillTokens(const ServiceName &service,
                               std::uint64_t tokens,
                               std::uint64_t cached,
                               std::uint64_t wasted)
{
    const auto add = [&](const char *kind, std::uint64_t n) {
        m_impl->prefillTokens.Add({{"service", service.text()}, {"kind", kind}}).Increment(static_cast<double>(n));
    };
    add("computed", tokens);
    add("cached", cached);
    add("wasted", wasted);
}

void Metrics::setWaitingRequests(const ServiceName &service, Tier tier, std::uint64_t requests)
{
    m_impl->waitingRequests.Add({{"service", service.text()}, {"tier", nameOf(tier)}})
        .Set(static_cast<double>(requests));
}

void Metrics::setSlots(const TargetName &target, std::uint32_t free, std::uint32_t running)
{
    m_impl->slots.Add({{"target", target.text()}, {"state", "free"}}).Set(free);
    m_impl->slots.Add({{"target", target.text()}, {"state", "running"}}).Set(running);
}

void Metrics::addLinkBytes(LinkCause cause, std::uint64_t bytes)
{
    m_impl->linkBytes.Add({{"cause", nameOf(cause)}}).Increment(static_cast<double>(bytes));
}

void Metrics::addPeerBytes(std::uint64_t sent, std::uint64_t received)
{
    m_impl->peerBytes.Add({{"direction", "sent"}}).Increment(static_cast<double>(sent));
    m_impl->peerBytes.Add({{"direction", "received"}}).Increment(static_cast<double>(received));
}

void Metrics::recordStoreCall(const std::string &call, bool succeeded, Duration duration)
{
    m_impl->storeCalls.Add({{"call", call}, {"result", succeeded ? "ok" : "failed"}}).Increment();
    m_impl->storeSeconds.Add({{"call", call}}, storeBuckets).Observe(secondsOf(duration));
}

void Metrics::countEvent(Event event)
{
    m_impl->events.Add({{"number", std::to_string(static_cast<int>(event))}}).Increment();
}

void Metrics::setRevision(Revision revision)
{
    m_impl->revision.Add({}).Set(static_cast<double>(revision));
}

std::string Metrics::text() const
{
    std::ostringstream out;
    prometheus::TextSerializer().Serialize(out, m_impl->registry.Collect());
    return out.str();
}

namespace
{

class CountingEventLog : public EventLog
{
public:
    CountingEventLog(Metrics &metrics, EventLog &next)
        : m_metrics(metrics)
        , m_next(next)
    {
    }

    void record(Event event, Severity severity, const std::string &text) override
    {
        m_metrics.countEvent(event);
        m_next.record(event, severity, text);
    }

private:
    Metrics &m_metrics;
    EventLog &m_next;
};

} // namespace

std::unique_ptr<EventLog> makeCountingEventLog(Metrics &metrics, EventLog &next)
{
    return std::make_unique<CountingEventLog>(metrics, next);
}

} // namespace monsoonward
