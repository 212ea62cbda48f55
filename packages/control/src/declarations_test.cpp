#include "monsoonward/control/declarations.h"

#include <doctest/doctest.h>

using namespace monsoonward;

namespace
{

const std::string hashA(64, 'a');

const std::string fleet = R"(; a fleet
[region tregor]
[data-centre lannion]
region = tregor
[host h1]
data-centre = lannion
role = target
peer = 127.0.0.1:7001
admin = [::1]:7002
[tier 0]
name = press
default-deadline = 2500ms
[service atelier-model]
kind = model
model = motif
version = 3
[service stock]
kind = plain
repeatable = GET /stock, HEAD /
[target t1]
host = h1
service = atelier-model
state = draining
checks-fencing = yes
[engine e1]
target = t1
address = 127.0.0.1:8001
max-batch = 8
)";

std::string customers()
{
    return "[customer rouleaux]\nkey-hashes = " + hashA
        + "\ntiers = 0\nweight = 1.5\ntokens-per-second = 100\n[operator yann]\ntoken-hash = " + hashA
        + "\nrights = read, plan\n";
}

} // namespace

TEST_CASE("declarations in several files are parsed into one configuration")
{
    const auto result = parseDeclarations({{"fleet.ini", fleet}, {"customers.ini", customers()}});
    for (const auto &it : result.errors) {
        FAIL_CHECK(textOf(it));
    }
    const auto &configuration = result.configuration;
    REQUIRE(configuration.hosts.size() == 1);
    CHECK(configuration.hosts[0].peerAddress == Address {"127.0.0.1", 7001});
    CHECK(configuration.hosts[0].adminAddress == Address {"::1", 7002});
    REQUIRE(configuration.tiers.size() == 1);
    CHECK(configuration.tiers[0].defaultDeadline == std::chrono::milliseconds(2500));
    REQUIRE(configuration.services.size() == 2);
    CHECK(configuration.services[1].repeatableCalls == std::vector<RepeatableCall> {{"GET", "/stock"}, {"HEAD", "/"}});
    REQUIRE(configuration.targets.size() == 1);
    CHECK(configuration.targets[0].state == ServingState::Draining);
    CHECK(configuration.targets[0].checksFencing);
    REQUIRE(configuration.customers.size() == 1);
    CHECK(configuration.customers[0].limits.tokensPerSecond == 100);
    REQUIRE(configuration.operators.size() == 1);
    CHECK(configuration.operators[0].rights == std::vector<OperatorRight> {OperatorRight::Read, OperatorRight::Plan});
}

TEST_CASE("writing and parsing declarations preserves the configuration")
{
    const auto first = parseDeclarations({{"fleet.ini", fleet}, {"customers.ini", customers()}});
    const auto second = parseDeclarations({{"export.ini", writeDeclarations(first.configuration)}});
    CHECK(second.errors.empty());
    CHECK(second.configuration == first.configuration);
}

TEST_CASE("parsing reports the errors of all files, with file and line")
{
    const auto result = parseDeclarations({
        {"a.ini",
         "[region r]\n[data-centre d]\nregion = elsewhere\ncolour = blue\n[host h]\ndata-centre = d\npeer = x\n"},
        {"b.ini", "key = 1\nnonsense\n[region r]\n[tier 99]\n[tier 1]\ndefault-deadline = 5 parsecs\n[rack x]\n"},
        {"c.ini", "[customer c]\ntiers = 4\nkey-hashes = short\nweight = -1\n[region bad name]\n"},
    });
    std::vector<std::string> places;
    for (const auto &it : result.errors) {
        places.push_back(it.file + ":" + std::to_string(it.line));
    }
    const std::vector<std::string> expected {
        "a.ini:3",
        "a.ini:4",
        "a.ini:7",
        "b.ini:1",
        "b.ini:2",
        "b.ini:3",
        "b.ini:4",
        "b.ini:6",
        "b.ini:7",
        "c.ini:2",
        "c.ini:3",
        "c.ini:4",
        "c.ini:5",
    };
    CHECK(places == expected);
    for (const auto &it : result.errors) {
        CAPTURE(textOf(it));
        CHECK(it.message.size() > 10);
    }
}

TEST_CASE("a duplicate key is reported at the line of its second occurrence")
{
    const auto result = parseDeclarations({{"a.ini", "[region r]\n[data-centre d]\nregion = r\nregion = r\n"}});
    REQUIRE(result.errors.size() == 1);
    CHECK(result.errors[0].line == 4);
}
