#include "loadreports.h"

#include <doctest/doctest.h>

using namespace monsoonward;

namespace
{

LoadReport wholeReport()
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

LoadReport sentAndRead(const LoadReport &report)
{
    const auto bytes = encodeReport(report);
    const auto read = decodeReport(bytes.data(), bytes.size());
    REQUIRE(read);
    return read.value();
}

} // namespace

TEST_CASE("whole, short and passed on reports come as they were sent")
{
    const auto whole = wholeReport();
    CHECK(sentAndRead(whole) == whole);
    auto passedOn = whole;
    passedOn.shouldForward = true;
    CHECK(sentAndRead(passedOn) == passedOn);
    LoadReport brief = whole;
    brief.demand.clear();
    brief.spent.clear();
    brief.isLoadOnly = true;
    CHECK(sentAndRead(brief) == brief);
    CHECK(encodeReport(brief).size() < encodeReport(whole).size());
}

TEST_CASE("what is no report is told apart")
{
    const auto bytes = encodeReport(wholeReport());
    CHECK_FALSE(decodeReport(bytes.data(), bytes.size() / 2));
    const std::string text = "garbage";
    CHECK_FALSE(decodeReport(reinterpret_cast<const std::uint8_t *>(text.data()), text.size())); // NOLINT
}
