#include "gatewaymetrics.h"

#include <doctest/doctest.h>

#include <fstream>
#include <regex>
#include <set>
#include <sstream>

using namespace monsoonward;

namespace
{

std::set<std::string> metricNamesIn(const std::string &text)
{
    const std::regex pattern("monsoonward_gateway_[a-z_]+");
    std::set<std::string> names;
    for (auto it = std::sregex_iterator(text.begin(), text.end(), pattern); it != std::sregex_iterator(); ++it) {
        names.insert(it->str());
    }
    return names;
}

std::string readSource(const std::string &path)
{
    std::ifstream in(MONSOONWARD_SOURCE_DIR + path);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

} // namespace

TEST_CASE("docs/METRICS.md lists exactly the metrics that the gateway exports")
{
    const auto code = metricNamesIn(readSource("/packages/gateway/src/gatewaymetrics.cpp"));
    REQUIRE(code.size() > 5);
    CHECK(metricNamesIn(readSource("/docs/METRICS.md")) == code);
}

TEST_CASE("metrics are served as Prometheus text")
{
    GatewayMetrics metrics;
    metrics.requestEnded(ServiceName("s"), Tier(1), RequestOutcome::Refused, "allotment", std::chrono::milliseconds(5));
    metrics.firstBytesSent(ServiceName("s"), Tier(1), std::chrono::milliseconds(300));
    metrics.setConfiguration(7, std::chrono::seconds(2));
    const auto text = metrics.text();
    CHECK(text.find("outcome=\"refused\"") != std::string::npos);
    CHECK(text.find("monsoonward_gateway_state{name=\"configuration_revision\"} 7") != std::string::npos);
    CHECK(text.find("monsoonward_gateway_first_bytes_seconds_count") != std::string::npos);
}
