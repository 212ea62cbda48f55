// Tests that a gateway keeps the limits that engines state in their responses.
#include "gatewayfixture.h"

using namespace monsoonward;
using namespace std::chrono_literals;

namespace
{

/// Responds to each request with the header lines.
ScriptedEngine::Responder withHeaders(std::string lines)
{
    return [lines = std::move(lines)](const std::string &it) { return ScriptedResponse {responseTo(it, "ok", lines)}; };
}

} // namespace

// The gateway went on sending what it would have sent without the limit.
TEST_CASE_FIXTURE(GatewayFixture, "an engine that states a limit gets no more than it, and the rest is refused at once")
{
    ScriptedEngine engine(withHeaders("Limit: 2\r\n"));
    addEngine("a", engine.address());
    start();
    const auto startedAt = std::chrono::steady_clock::now();
    unsigned refused = 0;
    for (unsigned n = 0; n < 30; ++n) {
        const auto response = exchange(request("/safe/"));
        if (statusOf(response) != 200) {
            ++refused;
            CHECK(statusOf(response) == 503);
            CHECK(bodyOf(response) == "engines-limited\n");
            CHECK(header(response, "Monsoonward-Verdict") == "not-run");
            CHECK(std::stod(header(response, "Retry-After")) > 0);
        }
    }
    const std::chrono::duration<double> taken = std::chrono::steady_clock::now() - startedAt;
    CHECK(double(engine.requests().size()) <= 1 + 2 * taken.count() + 2);
    CHECK(refused + engine.requests().size() == 30);
    std::this_thread::sleep_for(600ms);
    CHECK(statusOf(exchange(request("/safe/"))) == 200);
}

TEST_CASE_FIXTURE(GatewayFixture, "a request goes to an engine without a limit while a limited one takes no more")
{
    ScriptedEngine limited(withHeaders("Limit: 0.5\r\n"));
    ScriptedEngine unlimited(withHeaders(""));
    addEngine("a", limited.address());
    addEngine("b", unlimited.address());
    start();
    for (unsigned n = 0; n < 30; ++n) {
        CHECK(statusOf(exchange(request("/safe/"))) == 200);
    }
    CHECK(limited.requests().size() <= 2);
}

TEST_CASE_FIXTURE(GatewayFixture, "the limit of a rejection counts, and a success without a limit lifts it")
{
    std::atomic<unsigned> calls {0};
    ScriptedEngine engine([&](const std::string &it) {
        if (calls++ == 0) {
            return ScriptedResponse {"HTTP/1.1 503 Full\r\nNot-Run: 1\r\nLimit: 4\r\nRequest-Id: "
                                     + header(it, "Request-Id") + "\r\nContent-Length: 0\r\n\r\n"};
        }
        return ScriptedResponse {responseTo(it, "ok")};
    });
    addEngine("a", engine.address());
    start();
    CHECK(statusOf(exchange(request("/safe/"))) == 503);
    CHECK(bodyOf(exchange(request("/safe/"))) == "engines-limited\n");
    std::this_thread::sleep_for(300ms);
    for (unsigned n = 0; n < 10; ++n) {
        CHECK(statusOf(exchange(request("/safe/"))) == 200);
    }
}

TEST_CASE_FIXTURE(GatewayFixture, "a limit that can't be read is counted and ignored")
{
    ScriptedEngine engine(withHeaders("Limit: 0\r\nLimit: 1\r\n"));
    ScriptedEngine other(withHeaders("Limit: -1\r\n"));
    addEngine("a", engine.address());
    addEngine("b", other.address());
    start();
    for (unsigned n = 0; n < 10; ++n) {
        CHECK(statusOf(exchange(request("/safe/"))) == 200);
    }
    CHECK(m_metrics.text().find("monsoonward_gateway_engine_limit_malformed_total 10") != std::string::npos);
}

// The 421 of another engine at an address that was used again would have lifted or set a limit.
TEST_CASE_FIXTURE(GatewayFixture, "the response of another engine says nothing about a limit")
{
    ScriptedEngine engine([](const std::string &it) {
        return ScriptedResponse {"HTTP/1.1 421 Misdirected\r\nNot-Run: 1\r\nLimit: 0\r\nRequest-Id: "
                                 + header(it, "Request-Id") + "\r\nContent-Length: 0\r\n\r\n"};
    });
    addEngine("a", engine.address());
    start();
    exchange(request("/safe/"));
    CHECK(engine.requests().size() == 1);
    exchange(request("/safe/"));
    CHECK(engine.requests().size() == 2);
}
