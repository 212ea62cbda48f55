#include "output.h"
#include "verbs.h"

#include <doctest/doctest.h>

#include <set>

using namespace monsoonctl;

TEST_CASE("table columns are as wide as their widest cell")
{
    CHECK(table({"a", "bb"}, {{"long", "x"}}) == "a     bb\nlong  x\n");
}

TEST_CASE("every verb has a help text and an example that begins with its name")
{
    std::set<std::string> names;
    for (const auto &it : verbs()) {
        CAPTURE(it.name);
        CHECK(names.insert(it.name).second);
        CHECK(it.help.size() > 10);
        CHECK(it.example.rfind("monsoonctl " + it.name, 0) == 0);
        CHECK(helpOf(it).find(it.example) != std::string::npos);
    }
}

TEST_CASE("errors in declarations are printed one per line")
{
    const auto response = nlohmann::json::parse(
        R"({"errors": [{"file": "a.ini", "line": 3, "key": "host h.peer", "message": "m1"},
                       {"file": "b.ini", "line": 4, "key": "", "message": "m2"}]})");
    CHECK(errorText(response) == "a.ini:3: host h.peer: m1\nb.ini:4: : m2\n");
}

TEST_CASE("the text of a plan that breaks a promise names the override option")
{
    const auto plan = nlohmann::json::parse(
        R"({"id": "p1", "base": 3, "state": "proposed", "steps": [{"text": "stop"}],
            "broken": [{"reason": "service-without-target", "detail": "none left"}]})");
    CHECK(planText(plan).find("--override service-without-target") != std::string::npos);
}
