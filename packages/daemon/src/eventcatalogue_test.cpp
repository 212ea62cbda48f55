#include <doctest/doctest.h>

#include <fstream>
#include <map>
#include <regex>
#include <sstream>

namespace
{

std::string readSource(const std::string &path)
{
    std::ifstream in(MONSOONWARD_SOURCE_DIR + path);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

std::map<std::string, std::string> matches(const std::string &text, const std::regex &pattern)
{
    std::map<std::string, std::string> found;
    for (auto it = std::sregex_iterator(text.begin(), text.end(), pattern); it != std::sregex_iterator(); ++it) {
        const bool isNew = found.emplace((*it)[1], (*it)[2]).second;
        CHECK_MESSAGE(isNew, (*it)[1].str() << " is listed twice");
    }
    return found;
}

} // namespace

TEST_CASE("docs/EVENTS.md lists exactly the events of the program, with their numbers")
{
    const auto code = matches(readSource("/packages/values/include/monsoonward/values/eventlog.h"),
                              std::regex("\\n    (\\w+) = (\\d{4}),"));
    const auto page = matches(readSource("/docs/EVENTS.md"), std::regex("\\n\\| (?:\\d{4}) \\| (\\w+) \\|()"));
    const auto numbers = matches(readSource("/docs/EVENTS.md"), std::regex("\\n\\| (\\d{4}) \\| (\\w+) \\|"));
    REQUIRE(code.size() > 10);
    CHECK(page.size() == code.size());
    for (const auto &event : code) {
        const auto it = numbers.find(event.second);
        CHECK_MESSAGE(it != numbers.end(),
                      "event " << event.second << " " << event.first << " is missing from docs/EVENTS.md");
        CHECK_MESSAGE((it == numbers.end() || it->second == event.first),
                      "event " << event.second << " has a different name in docs/EVENTS.md");
    }
}
