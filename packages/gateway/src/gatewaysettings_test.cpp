#include "monsoonward/gateway/gatewaysettings.h"

#include <doctest/doctest.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace monsoonward;

namespace
{

const std::string completeFile = R"([daemon]
role = gateway
host = g1
data-centre = laita
regions = {"laita":"cornouaille","lannion":"tregor"}
[callers]
listen = 127.0.0.1:1
[health]
listen = 127.0.0.1:2
[admin]
listen = 127.0.0.1:3
[peer]
listen = 127.0.0.1:4
[store]
address = 127.0.0.1:5
[promises]
key-revocation = 5000 ms
retry-window = 10.5 s
)";

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

TEST_CASE("a complete file is parsed, and omitted keys get their defaults")
{
    const auto outcome = parseGatewaySettings("g.ini", completeFile);
    REQUIRE(outcome.errors.empty());
    const auto &settings = outcome.settings;
    CHECK(settings.host == HostName("g1"));
    CHECK(settings.topology.regions.at(DataCentreName("lannion")) == RegionName("tregor"));
    CHECK(settings.retryBudget.window == std::chrono::milliseconds(10500));
    CHECK(settings.freshness.maxAgeForKeys < std::chrono::seconds(5));
    CHECK(settings.maxDescriptors == 1024);
    CHECK(settings.logLevel == "info");
}

TEST_CASE("an invalid, unknown or missing key is reported by its name")
{
    for (const auto &it : std::vector<std::array<std::string, 3>> {{"role = gateway", "role = door", "daemon.role"},
                                                                   {"127.0.0.1:1", "nowhere", "callers.listen"},
                                                                   {"5000 ms", "5000", "promises.key-revocation"},
                                                                   {"\"tregor\"", "", "daemon.regions"},
                                                                   {"[store]\naddress", "[store]\nport", "store.port"},
                                                                   {"host = g1\n", "", "daemon.host"}}) {
        const auto &key = it[2];
        CAPTURE(key);
        const auto outcome = parseGatewaySettings("g.ini", replaced(completeFile, it[0], it[1]));
        REQUIRE_FALSE(outcome.errors.empty());
        CHECK(outcome.errors.front().key == key);
    }
}

TEST_CASE("docs/GATEWAY-SETTINGS.md contains the table that the program generates")
{
    std::ifstream in(MONSOONWARD_SOURCE_DIR "/docs/GATEWAY-SETTINGS.md");
    std::ostringstream text;
    text << in.rdbuf();
    if (std::getenv("MONSOONWARD_PRINT_PAGE") != nullptr) {
        std::cout << gatewaySettingsPage();
    }
    CHECK(text.str().find(gatewaySettingsPage()) != std::string::npos);
}
