#include "monsoonward/daemon/metrics.h"

#include <doctest/doctest.h>

using namespace monsoonward;

namespace
{

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

const ServiceName service {"survey-llm"};

} // namespace

TEST_CASE("goodput counts only requests completed within their deadline")
{
    Metrics metrics;
    metrics.recordRequestEnd({service, Tier(0), Verdict::Completed, std::nullopt, true, std::chrono::seconds(1), {}});
    metrics.recordRequestEnd({service, Tier(0), Verdict::Completed, std::nullopt, false, std::chrono::seconds(9), {}});
    metrics.recordRequestEnd({service, Tier(1), Verdict::NotRun, RefusalReason::Shed, false, {}, {}});
    const auto text = metrics.text();
    CHECK(contains(text, "monsoonward_goodput_total{service=\"survey-llm\",tier=\"0\"} 1\n"));
    CHECK(contains(text, "monsoonward_refusals_total{reason=\"shed\",service=\"survey-llm\",tier=\"1\"} 1\n"));
    CHECK_FALSE(contains(text, "monsoonward_goodput_total{service=\"survey-llm\",tier=\"1\"}"));
}

TEST_CASE("events are counted and forwarded")
{
    Metrics metrics;
    NullEventLog next;
    makeCountingEventLog(metrics, next)->record(Event::PeerDown, Severity::Warning, "t1");
    CHECK(contains(metrics.text(), "monsoonward_events_total{number=\"2002\"} 1\n"));
}
