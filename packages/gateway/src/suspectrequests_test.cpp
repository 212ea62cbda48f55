// Tests what a gateway does with requests whose traits have crashed engines.
#include "gatewayfixture.h"
#include "requesttraits.h"

using namespace monsoonward;
using namespace std::chrono_literals;

namespace
{

ScriptedResponse brokenStream(const std::string &request)
{
    return ScriptedResponse {streamHeader(request) + chunk(event(1)), true};
}

/// @return the traits of a request that states @p promptParts, without that of the request as a whole
std::vector<RequestTrait> partTraits(const std::string &promptParts)
{
    auto traits = traitsOf(CallerRequest(), promptParts, "");
    traits.erase(traits.begin());
    return traits;
}

std::size_t requestsAt(const std::vector<std::unique_ptr<ScriptedEngine>> &engines)
{
    std::size_t n = 0;
    for (const auto &it : engines) {
        n += it->requests().size();
    }
    return n;
}

} // namespace

// Each gateway sent requests with the part to one engine after the other.
TEST_CASE_FIXTURE(GatewayFixture, "a request with a prompt part that has crashed engines is not sent to another engine")
{
    ScriptedEngine engine([](const std::string &it) { return ScriptedResponse {responseTo(it, "ok")}; });
    addEngine("a", engine.address());
    for (EngineRun run = 1; run <= CrashSuspects::crashesToRefuse; ++run) {
        m_core.crashSuspects.crashObserved(partTraits("shared:1,bad:2,own:3"), run, m_clock.now() - 1s);
    }
    m_core.crashSuspects.requestCompleted(partTraits("shared:1,other:2,own:3"), m_clock.now() - 500ms);
    start();
    const auto refused = exchange(request("/safe/", "Parts: bad:7,first:1,new:3\r\n"));
    CHECK(statusOf(refused) == 503);
    CHECK(header(refused, "Monsoonward-Verdict") == "not-run");
    CHECK(std::stod(header(refused, "Retry-After")) > 200);
    CHECK(engine.requests().empty());
    CHECK(statusOf(exchange(request("/safe/", "Parts: shared:1,other:2,new:4\r\n"))) == 200);
    CHECK(statusOf(exchange(request("/safe/", "Parts: shared:1,bad:2\r\n"))) == 200); // the last part is its own
}

// One request crashed as many engines as it may be sent to.
TEST_CASE_FIXTURE(GatewayFixture, "a request that has lost its connections to two engines is not sent to a third one")
{
    std::vector<std::unique_ptr<ScriptedEngine>> engines;
    for (const auto *it : {"a", "b", "c"}) {
        engines.push_back(std::make_unique<ScriptedEngine>(brokenStream));
        addEngine(it, engines.back()->address());
    }
    allowRetries();
    m_maxAttempts = 3;
    start();
    exchange(request("/stream/", "Parts: bad:1,own:2\r\n"));
    CHECK(requestsAt(engines) == 2);
}

// A reset of a gateway's connections must not look like crashes.
TEST_CASE_FIXTURE(GatewayFixture, "an engine that answers after a lost connection has not crashed")
{
    ScriptedEngine engine([](const std::string &it) {
        return it.find("/stream/") != std::string::npos ? brokenStream(it) : ScriptedResponse {responseTo(it, "ok")};
    });
    addEngine("a", engine.address());
    start();
    exchange(request("/stream/", "Parts: sound:1,own:2\r\n"));
    CHECK(statusOf(exchange(request("/safe/", "Parts: other:1,own:2\r\n"))) == 200);
    asio::post(m_io, [this] {
        for (EngineRun run = 1; run < CrashSuspects::crashesToRefuse; ++run) {
            m_core.crashSuspects.crashObserved(partTraits("sound:1,own:2"), run, m_clock.now() - 1s);
        }
    });
    std::this_thread::sleep_for(CrashSuspects::confirmationTimeout + 50ms);
    CHECK(statusOf(exchange(request("/safe/", "Parts: sound:1,own:3\r\n"))) == 200);
}

// The same, if the engine doesn't answer.
TEST_CASE_FIXTURE(GatewayFixture, "a lost connection to an engine that doesn't answer again counts as its crash")
{
    ScriptedEngine engine(brokenStream);
    addEngine("a", engine.address());
    start();
    exchange(request("/stream/", "Parts: bad:1,own:2\r\n"));
    asio::post(m_io, [this] {
        for (EngineRun run = 1; run < CrashSuspects::crashesToRefuse; ++run) {
            m_core.crashSuspects.crashObserved(partTraits("bad:1,own:2"), run, m_clock.now() - 1s);
        }
    });
    std::this_thread::sleep_for(CrashSuspects::confirmationTimeout + 50ms);
    CHECK(statusOf(exchange(request("/safe/", "Parts: bad:1,own:3\r\n"))) == 503);
    CHECK(engine.requests().size() == 1);
}
