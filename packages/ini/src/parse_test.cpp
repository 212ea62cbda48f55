#include "monsoonward/ini/ini.h"

#include <doctest/doctest.h>

using namespace monsoonward;

TEST_CASE("sections and entries carry their line numbers")
{
    const auto file = parseIni("a.ini", "; comment\n[one two]\nkey = some value\n\n[three]\nx=1\ny = \"a = b\"");
    REQUIRE(file.errors.empty());
    REQUIRE(file.sections.size() == 3);
    CHECK(file.sections[1].name == "one two");
    CHECK(file.sections[1].line == 2);
    CHECK(file.sections[1].entries == std::vector<IniEntry> {{"key", "some value", 3}});
    CHECK(file.sections[2].entries == std::vector<IniEntry> {{"x", "1", 6}, {"y", "a = b", 7}});
}

TEST_CASE("a line that is no section, entry or comment is reported with its line number")
{
    const auto file = parseIni("a.ini", "[one]\nx = 1\njust words\n");
    REQUIRE(file.errors.size() == 1);
    CHECK(file.errors[0].line == 3);
}

TEST_CASE("after a syntax error, later entries are parsed and later errors reported")
{
    const auto file = parseIni("a.ini", "just words\n[one]\nx = 1\nmore words\ny = 2\n[broken\nz = 3\n");
    std::vector<unsigned> lines;
    for (const auto &it : file.errors) {
        lines.push_back(it.line);
    }
    CHECK(lines == std::vector<unsigned> {1, 4, 6});
    REQUIRE(file.sections.size() == 2);
    CHECK(file.sections[1].entries == std::vector<IniEntry> {{"x", "1", 3}, {"y", "2", 5}, {"z", "3", 7}});
}

TEST_CASE("durations need a known unit and must not overflow")
{
    CHECK(parseDuration("250 ms").value() == std::chrono::milliseconds(250));
    CHECK(parseDuration("2min").value() == std::chrono::minutes(2));
    CHECK(parseDuration("5.1 s").value() == std::chrono::milliseconds(5100));
    CHECK_FALSE(parseDuration("5. s x"));
    CHECK_FALSE(parseDuration("1e3 s"));
    CHECK_FALSE(parseDuration("250"));
    CHECK_FALSE(parseDuration("ms"));
    CHECK_FALSE(parseDuration("-1 s"));
    CHECK_FALSE(parseDuration("99999999999999 d"));
}

TEST_CASE("addresses are IP addresses with a port")
{
    CHECK(parseAddress("127.0.0.1:80").value() == Address {"127.0.0.1", 80});
    CHECK(parseAddress("[::1]:80").value() == Address {"::1", 80});
    CHECK_FALSE(parseAddress("localhost:80"));
    CHECK_FALSE(parseAddress("127.0.0.1"));
    CHECK_FALSE(parseAddress("127.0.0.1:65536"));
}

TEST_CASE("lists are split at commas")
{
    CHECK(splitList(" a, b ,,c ") == std::vector<std::string> {"a", "b", "c"});
    CHECK(splitList("").empty());
}

TEST_CASE("UTF-8 is preserved, and invalid UTF-8 is reported with its line number")
{
    const auto file = parseIni("a.ini", "[region Guémené]\nname = modèle €\n");
    CHECK(file.errors.empty());
    REQUIRE(file.sections.size() == 2);
    CHECK(file.sections[1].name == "region Guémené");
    CHECK(file.sections[1].entries == std::vector<IniEntry> {{"name", "modèle €", 2}});

    for (const auto *it : {"a = \x94\xeb", "a = \xff", "a = \xc3", "a = x\x80y", "a = \xf8\x88\x80\x80\x80"}) {
        const auto rejected = parseIni("a.ini", std::string("[x]\n") + it + "\n");
        REQUIRE(rejected.errors.size() == 1);
        CHECK(rejected.errors[0].line == 2);
    }
}
