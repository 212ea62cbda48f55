#include "measure.h"

#include <monsoonward/dispatch/dispatch.h>
#include <platform/decode.h>

#include <nlohmann/json.hpp>

namespace monsoonward::capacity
{

namespace
{

using Json = nlohmann::json;

std::string sampleConfiguration(unsigned routes)
{
    Json json {{"version", 7}, {"routes", Json::array()}, {"services", Json::array()}, {"tenants", Json::array()}};
    for (unsigned n = 0; n < routes; ++n) {
        json["routes"].push_back({{"name", "route" + std::to_string(n)},
                                  {"host", "host" + std::to_string(n % 10) + ".example"},
                                  {"prefix", "/prefix" + std::to_string(n) + "/"},
                                  {"service", "service"},
                                  {"route_kind", "safe"},
                                  {"timeout_ms", 3000},
                                  {"goal_ms", 300},
                                  {"max_attempts", 2},
                                  {"priority", 1}});
    }
    json["services"].push_back({{"name", "service"}, {"max_conns", 100}});
    for (unsigned n = 0; n < 16; ++n) {
        json["tenants"].push_back({{"name", "customer" + std::to_string(n)},
                                   {"api_keys", {"key" + std::to_string(n)}},
                                   {"rate_per_s", 1000},
                                   {"burst", 1000}});
    }
    return json.dump();
}

/// @return the store's answer that holds the configuration
std::string sampleAnswer(const std::string &configuration)
{
    const auto write = Json::parse(platform::encodeWrite("op", {"config", configuration, 7}, std::nullopt));
    auto row = write["puts"][0];
    row["ver"] = 7;
    return Json({{"rows", {row}}, {"ver", 7}, {"now_ms", 1}}).dump();
}

} // namespace

void measureRoutes()
{
    Slope bytes {"answer bytes", "route", "bytes", {}};
    Slope decodingPage {"answer decode", "route", "us", {}};
    Slope decoding {"routes decode", "route", "us", {}};
    Slope indexing {"routes index", "route", "us", {}};
    for (const unsigned n : {100, 1500, 5000, 10000}) {
        const auto text = sampleConfiguration(n);
        const auto answer = sampleAnswer(text);
        bytes.points.emplace_back(n, static_cast<double>(answer.size()));
        decodingPage.points.emplace_back(n, measureMicroseconds([&] { platform::decodePage(answer).value(); }));
        decoding.points.emplace_back(n, measureMicroseconds([&] { platform::decodeConfiguration(text).value(); }));
        const auto configuration =
            std::make_shared<const ServingConfiguration>(platform::decodeConfiguration(text).value());
        indexing.points.emplace_back(n, measureMicroseconds([&] { const RouteTable table(configuration); }));
    }
    print(bytes);
    print(decodingPage);
    print(decoding);
    print(indexing);
}

} // namespace monsoonward::capacity
