#include "centrecodec.h"

#include <doctest/doctest.h>

using namespace monsoonward;
using namespace std::chrono_literals;

namespace
{

/// @return the report of a data centre whose gateways have granted units to three customers each lately
CentreReport reportOf(std::size_t gateways, std::size_t engines)
{
    CentreReport report {HostName("gateway-of-ostrava-7"), 1'765'000'000'123, 4711, DataCentreName("ostrava-a")};
    for (std::size_t n = 0; n < gateways; ++n) {
        MemberRow row {hashOf("gateway", n), 1'765'000'000'000 + n * 10, 5000 + n, 600ms, 30s};
        for (const char *it : {"customer-one", "customer-two", "customer-three"}) {
            row.spent[CustomerName(it)] = {static_cast<std::int64_t>(n) * 1000, static_cast<std::int64_t>(n) * 990};
        }
        row.serviceDemand[ServiceName("model-desk")] = 12.5;
        report.members.push_back(row);
    }
    for (std::size_t n = 0; n < engines; ++n) {
        report.sums.requests[keyOf(EngineName("engine-" + std::to_string(n)))] = 3;
    }
    report.sums.leaving[7] = 2;
    report.sums.demand[CustomerName("customer-two")] = 40'000;
    report.knowledge = {2, 40, 123'456, 77, 78};
    return report;
}

bool isAccepted(const CentreMessage &message)
{
    const auto bytes = encodeCentreMessage(message);
    return decodeCentreMessage(bytes.data(), bytes.size()).has_value();
}

} // namespace

TEST_CASE("centre reports survive encoding and decoding")
{
    auto report = reportOf(3, 2);
    report.members.front().spent[CustomerName("refunded")] = {-5, -9};
    report.limits = {{1, 5.5, 20ms}, {2, std::nullopt, 1s}};
    report.crashes = {{{1, 2, 3ms, true, false, true}}, {{4, 5ms}}};
    for (const bool shouldForward : {false, true}) {
        const CentreMessage message {report, shouldForward};
        const auto bytes = encodeCentreMessage(message);
        CHECK(isCentreMessage(bytes.data(), bytes.size()));
        const auto read = decodeCentreMessage(bytes.data(), bytes.size());
        REQUIRE(read);
        CHECK(read.value() == message);
    }
    CHECK(isAccepted({CentreReport {HostName("h"), 1, 1, DataCentreName("h")}, false}));
}

// 302 machines in 6 data centres, 300 engines: today each gateway gets 650 kB a second.
TEST_CASE("the reports of six data centres with 50 gateways each stay below 40 kB in an interval")
{
    const auto bytes = encodeCentreMessage({reportOf(50, 300), false}).size();
    MESSAGE("bytes of a centre report: " << bytes);
    CHECK(bytes * 6 < 40'000);
    CHECK(encodeCentreMessage({reportOf(170, 1000), false}).size() < 32'000); // a datagram holds 65,507
}

TEST_CASE("truncated, foreign, nested and absurd centre reports are rejected")
{
    const auto bytes = encodeCentreMessage({reportOf(3, 2), false});
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        CHECK_FALSE(decodeCentreMessage(bytes.data(), n));
    }
    auto later = bytes;
    later[1] = 2;
    CHECK_FALSE(decodeCentreMessage(later.data(), later.size()));
    std::vector<std::uint8_t> nested(65'507, 0x91);
    nested[0] = 0xc7;
    nested[1] = 1;
    CHECK_FALSE(decodeCentreMessage(nested.data(), nested.size()));
    auto report = reportOf(1, 1);
    report.members.front().age = 2h;
    CHECK_FALSE(isAccepted({report, false}));
    report = reportOf(1, 1);
    report.members.front().spent[CustomerName("c")] = {std::int64_t {1} << 60U, 0};
    CHECK_FALSE(isAccepted({report, false}));
    report = reportOf(1, 1);
    report.collector = HostName("");
    CHECK_FALSE(isAccepted({report, false}));
    report = reportOf(1, 1);
    report.knowledge.provenAtMs = -1;
    CHECK_FALSE(isAccepted({report, false}));
}
