#include "reportcodec.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

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
            false,
            {EngineName("e2")},
            {2, 40, 123'456, 77, 78},
            std::chrono::milliseconds(5000)};
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
    loadOnlyReport.leavingEngines.clear();
    loadOnlyReport.knowledge = {};
    loadOnlyReport.uptime = {};
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

TEST_CASE("reports with missing, negative or nested values are rejected")
{
    const auto isAccepted = [](const nlohmann::json &json) {
        const auto bytes = nlohmann::json::to_msgpack(json);
        return decodeReport(bytes.data(), bytes.size()).has_value();
    };
    const nlohmann::json valid {{"h", "g1"}, {"l", 1}, {"n", 1}, {"r", {{"e", 1}}}};
    CHECK(isAccepted(valid));
    const auto with = [&](const char *field, const nlohmann::json &value) {
        auto json = valid;
        json[field] = value;
        return json;
    };
    CHECK(isAccepted(with("later", 1)));
    for (const auto &it : {with("h", 1),
                           with("h", ""),
                           with("l", -1),
                           with("n", 1.5),
                           with("r", nullptr),
                           with("r", {{"e", -1}}),
                           with("r", {{"e", 1ULL << 32U}}),
                           with("r", {{"e", {{"x", 1}}}}),
                           with("d", {{"c", 1}}),
                           with("v", {1}),
                           with("p", 1ULL << 62U),
                           nlohmann::json::array()}) {
        CAPTURE(it.dump());
        CHECK_FALSE(isAccepted(it));
    }
}

TEST_CASE("deeply nested datagrams are rejected and don't exhaust the stack")
{
    constexpr std::uint8_t arrayOfOne = 0x91;
    const std::vector<std::uint8_t> bytes(65'507, arrayOfOne);
    CHECK_FALSE(decodeReport(bytes.data(), bytes.size()));
}
