#include "loadreports.h"

#include <doctest/doctest.h>

using namespace monsoonward;

namespace
{

LoadReport fullReport()
{
    return {HostName("g1"),
            7,
            9,
            {{EngineName("e1"), 3}},
            {{CustomerName("c"), 200}},
            {{CustomerName("c"), 5000}},
            false,
            false};
}

LoadReport encodedAndDecoded(const LoadReport &report)
{
    const auto bytes = encodeReport(report);
    const auto read = decodeReport(bytes.data(), bytes.size());
    REQUIRE(read);
    return read.value();
}

} // namespace

TEST_CASE("full, load-only and forwarded reports survive encoding and decoding")
{
    const auto full = fullReport();
    CHECK(encodedAndDecoded(full) == full);
    auto forwarded = full;
    forwarded.shouldForward = true;
    CHECK(encodedAndDecoded(forwarded) == forwarded);
    LoadReport loadOnlyReport = full;
    loadOnlyReport.demand.clear();
    loadOnlyReport.spent.clear();
    loadOnlyReport.isLoadOnly = true;
    CHECK(encodedAndDecoded(loadOnlyReport) == loadOnlyReport);
    CHECK(encodeReport(loadOnlyReport).size() < encodeReport(full).size());
}

TEST_CASE("truncated and foreign datagrams are rejected")
{
    const auto bytes = encodeReport(fullReport());
    CHECK_FALSE(decodeReport(bytes.data(), bytes.size() / 2));
    const std::string text = "garbage";
    CHECK_FALSE(decodeReport(reinterpret_cast<const std::uint8_t *>(text.data()), text.size())); // NOLINT
}
