#include "monsoonward/daemon/settings.h"

#include <doctest/doctest.h>

#include <fstream>
#include <sstream>

using namespace monsoonward;

namespace
{

const char *const completeFile = R"([daemon]
role = entry
host = e1
region = west
data-centre = west-a
[peer]
listen = 127.0.0.1:7001
secret = 0123456789abcdef
[callers]
listen = 127.0.0.1:8080
[admin]
listen = 127.0.0.1:9090
[platform]
table = 127.0.0.1:1
objects = 127.0.0.1:2
host-list = 127.0.0.1:3
)";

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

TEST_CASE("a file with all required keys gives settings with defaults")
{
    const auto result = parseSettings("a.ini", completeFile);
    REQUIRE(result.errors.empty());
    CHECK(result.settings.role == HostRole::Entry);
    CHECK(result.settings.host == HostName("e1"));
    CHECK(result.settings.heartbeatTimeout == std::chrono::milliseconds(1500));
    CHECK(result.settings.streamListen.port == 0);
}

TEST_CASE("every error is reported at once, with line and key")
{
    auto text = replaced(completeFile, "role = entry", "role = chief");
    text = replaced(text, "secret = 0123456789abcdef", "secret = short");
    text += "tabel = 127.0.0.1:4\n";
    const auto result = parseSettings("a.ini", text);
    REQUIRE(result.errors.size() == 3);
    CHECK(textOf(result.errors[0]) == "a.ini:2: daemon.role: \"chief\" is not allowed; allowed: entry or target");
    CHECK(textOf(result.errors[1]) == "a.ini:8: peer.secret: the secret is too short; allowed: 16 characters or more");
    CHECK(textOf(result.errors[2]) == "a.ini:17: platform.tabel: unknown key");
}

TEST_CASE("a missing key is an error only for the role that needs it")
{
    const auto text = replaced(completeFile, "[callers]\nlisten = 127.0.0.1:8080\n", "");
    CHECK(parseSettings("a.ini", text).errors.size() == 1);
    CHECK(parseSettings("a.ini", replaced(text, "role = entry", "role = target")).errors.empty());
}

TEST_CASE("keys given twice and unknown sections are refused")
{
    CHECK(parseSettings("a.ini", std::string(completeFile) + "table = 127.0.0.1:9\n").errors.size() == 1);
    CHECK(parseSettings("a.ini", std::string(completeFile) + "[extra]\n").errors.size() == 1);
}

TEST_CASE("a value out of range is refused")
{
    const auto text = std::string(completeFile) + "timeout = 2 h\n";
    CHECK(parseSettings("a.ini", text).errors.size() == 1);
}

TEST_CASE("docs/SETTINGS.md matches settingsPage()")
{
    std::ifstream in(MONSOONWARD_SOURCE_DIR "/docs/SETTINGS.md");
    std::ostringstream page;
    page << in.rdbuf();
    CHECK(page.str() == settingsPage());
}
