// Tests which engines a gateway lets go on with a stream.
#include "gatewayfixture.h"

using namespace monsoonward;
using namespace std::chrono_literals;

namespace
{

const std::string afterTwo = "Resumed-Request: first\r\nLast-Event-Id: 2\r\n";

class StreamFixture : public GatewayFixture
{
protected:
    static EngineRecord record(const std::string &name, const std::string &version, const std::string &service = "s")
    {
        EngineRecord it;
        it.name = EngineName(name);
        it.service = ServiceName(service);
        it.softwareVersion = version;
        it.slots = 5;
        return it;
    }

    void add(const std::string &name, const std::string &version, const ScriptedEngine &engine)
    {
        auto it = record(name, version);
        it.address = engine.address();
        m_core.engines.put(it);
    }

    /// The gateway has been told by another one where the stream of request "first" began.
    void tell(const EngineRecord &engine)
    {
        m_core.streams.begin(streamKeyOf("first", "c"), engine, 5s);
    }

    static ScriptedResponse rest(const std::string &request)
    {
        return {streamHeader(request) + chunk(event(3)) + chunk(event(4)) + "0\r\n\r\n"};
    }

    static ScriptedResponse cutAfterTwo(const std::string &request)
    {
        return {streamHeader(request) + chunk(event(1)) + chunk(event(2)), true};
    }

    ScriptedEngine m_first {rest};
    ScriptedEngine m_second {rest};
};

} // namespace

// A gateway chose among all engines for a stream that a caller took up.
TEST_CASE_FIXTURE(StreamFixture, "a stream that is taken up goes on at the version of its first event")
{
    add("a", "v1", m_first);
    add("b", "v2", m_second);
    tell(record("gone", "v2"));
    start();
    for (unsigned n = 0; n < 20; ++n) {
        const auto response = exchange(request("/stream/", afterTwo));
        CHECK(statusOf(response) == 200);
        CHECK(response.find("id: 4") != std::string::npos);
    }
    CHECK(m_first.requests().empty());
    REQUIRE(m_second.requests().size() == 20);
    CHECK(header(m_second.requests().front(), "Last-Event-Id") == "2");
}

TEST_CASE_FIXTURE(StreamFixture, "a stream that no gateway knows is refused, and so is one without a valid name")
{
    add("a", "v1", m_first);
    start();
    const std::string last = "Last-Event-Id: 2\r\n";
    for (const auto &it : {afterTwo,
                           last,
                           last + "Resumed-Request: \r\n",
                           last + "Resumed-Request: first\r\nResumed-Request: first\r\n",
                           last + "Resumed-Request: " + std::string(300, 'x') + "\r\n",
                           std::string("Resumed-Request: first\r\n")}) {
        const auto response = exchange(request("/stream/", it));
        CHECK(statusOf(response) == 503);
        CHECK(header(response, "Monsoonward-Verdict") == "not-run");
        CHECK(std::stod(header(response, "Retry-After")) > 0);
    }
    CHECK(m_first.requests().empty());
}

// Clients that have no event yet may send the header without a value.
TEST_CASE_FIXTURE(StreamFixture, "a request with an empty ID of the last event begins a new stream")
{
    add("a", "v1", m_first);
    start();
    CHECK(statusOf(exchange(request("/stream/", "Last-Event-Id: \r\n"))) == 200);
    CHECK(m_first.requests().size() == 1);
}

TEST_CASE_FIXTURE(StreamFixture, "a stream of another customer is unknown")
{
    add("a", "v1", m_first);
    m_core.streams.begin(streamKeyOf("first", "d"), record("a", "v1"), 5s);
    start();
    CHECK(statusOf(exchange(request("/stream/", afterTwo))) == 503);
}

TEST_CASE_FIXTURE(StreamFixture, "a stream whose version has no engine left is refused")
{
    add("a", "v1", m_first);
    tell(record("gone", "v0"));
    start();
    const auto response = exchange(request("/stream/", afterTwo));
    CHECK(statusOf(response) == 503);
    CHECK(bodyOf(response) == "version-gone\n");
    CHECK(m_first.requests().empty());
}

TEST_CASE_FIXTURE(StreamFixture, "versions of another service are different ones")
{
    add("a", "v1", m_first);
    tell(record("gone", "v1", "other"));
    start();
    CHECK(statusOf(exchange(request("/stream/", afterTwo))) == 503);
}

// The gateway that began a stream answers take-ups by the engine whose event it passed on.
TEST_CASE_FIXTURE(StreamFixture, "the version that counts is that of the engine whose first event was passed on")
{
    ScriptedEngine empty([](const std::string &it) { return ScriptedResponse {streamHeader(it), true}; });
    ScriptedEngine cut(cutAfterTwo);
    add("a", "v1", empty);
    add("b", "v2", cut);
    allowRetries();
    start();
    unsigned begun = 0;
    for (unsigned n = 0; n < 10; ++n) {
        const auto response = exchange(request("/stream/"));
        begun += response.find("id: 2") != std::string::npos ? 1 : 0;
    }
    REQUIRE(begun > 0);
    CHECK(cut.requests().size() >= begun);
    std::optional<StreamOrigin> origin;
    asio::post(m_io, [&] { origin = m_core.streams.findHere(streamKeyOf("id1", "c")); });
    REQUIRE(eventually([&] { return origin.has_value(); }));
    CHECK(origin->build == buildOf(record("b", "v2")));
    CHECK(!origin->isDoubtful);
}

// A gateway continued a stream at any engine within one response.
TEST_CASE_FIXTURE(StreamFixture, "a stream that breaks is continued only at the version of its first event")
{
    ScriptedEngine cut(cutAfterTwo);
    add("a", "v1", cut);
    add("b", "v2", m_second);
    allowRetries();
    start();
    for (unsigned n = 0; n < 20; ++n) {
        const auto response = exchange(request("/stream/"));
        if (response.find("id: 1\n") != std::string::npos) {
            CHECK(response.find("id: 3\n") == std::string::npos);
        }
    }
    CHECK(!cut.requests().empty());
    for (const auto &it : m_second.requests()) {
        CHECK(header(it, "Last-Event-Id").empty());
    }
}

TEST_CASE_FIXTURE(StreamFixture, "a stream that breaks is continued at another engine of its version")
{
    ScriptedEngine cut(cutAfterTwo);
    add("a", "v1", cut);
    add("b", "v1", m_second);
    add("c", "v2", m_first);
    allowRetries();
    start();
    for (unsigned n = 0; n < 20; ++n) {
        exchange(request("/stream/"));
    }
    const auto requests = m_second.requests();
    CHECK(std::any_of(
        requests.begin(), requests.end(), [](const std::string &it) { return header(it, "Last-Event-Id") == "2"; }));
    for (const auto &it : m_first.requests()) {
        CHECK(header(it, "Last-Event-Id").empty());
    }
}

// The name in the request doesn't tell two runs of an engine apart.
TEST_CASE_FIXTURE(StreamFixture, "a stream goes nowhere if its engine registered with another version meanwhile")
{
    std::atomic<bool> hasChanged {false};
    ScriptedEngine cut([&](const std::string &it) {
        asio::post(m_io, [&] {
            auto engine = record("a", "v2");
            engine.incarnation = 2;
            m_core.streams.buildChanged(*m_core.engines.find(engine.name), m_clock.now());
            m_core.engines.put(engine);
            hasChanged = true;
        });
        eventually([&] { return hasChanged.load(); });
        return cutAfterTwo(it);
    });
    add("a", "v1", cut);
    add("b", "v1", m_second);
    allowRetries();
    start();
    while (!hasChanged) {
        exchange(request("/stream/"));
    }
    CHECK(statusOf(exchange(request("/stream/", "Resumed-Request: id1\r\nLast-Event-Id: 2\r\n"))) == 503);
    for (const auto &it : m_second.requests()) {
        CHECK(header(it, "Last-Event-Id").empty());
    }
}

TEST_CASE_FIXTURE(StreamFixture, "a header that resumes a stream means nothing on a route without streams")
{
    add("a", "v1", m_first);
    start();
    exchange(request("/safe/", afterTwo));
    CHECK(m_first.requests().size() == 1);
}

// A stream that began at an engine that had started again while the store was away went on at its former version.
TEST_CASE_FIXTURE(StreamFixture,
                  "a stream that began while registrations can't be read goes on only from a certain run")
{
    ScriptedEngine cut(cutAfterTwo);
    add("a", "v1", cut);
    add("b", "v1", m_second);
    m_core.engines.storeAnswered(m_clock.now());
    m_core.engines.storeFailed(m_clock.now());
    allowRetries();
    start();
    for (unsigned n = 0; n < 10; ++n) {
        const auto response = exchange(request("/stream/"));
        CHECK((response.find("id: 2") == std::string::npos || response.find("id: 4") == std::string::npos));
    }
    CHECK_FALSE(cut.requests().empty());
    for (const auto &it : m_second.requests()) {
        CHECK(it.find("Last-Event-Id") == std::string::npos);
    }
}

TEST_CASE_FIXTURE(StreamFixture,
                  "a stream is taken up only by engines whose run was connected before the store went away")
{
    add("a", "v1", m_first);
    tell(record("gone", "v1"));
    m_core.engines.storeAnswered(m_clock.now());
    start();
    const auto ticket = m_core.continuity.connectionOpened(EngineName("a"), m_clock.now());
    const auto connectedAt = m_clock.now();
    while (m_clock.now() < connectedAt + EngineDirectory::registrationDelay) {
        m_clock.jump(1s);
        m_core.engines.storeReachable(m_clock.now());
    }
    m_core.freshness.recordProof(m_clock.now());
    m_core.engines.storeFailed(m_clock.now());
    tell(record("gone", "v1"));
    CHECK(statusOf(exchange(request("/stream/", afterTwo))) == 200);
    m_core.continuity.connectionEnded(EngineName("a"), m_clock.now());
    const auto response = exchange(request("/stream/", afterTwo));
    CHECK(statusOf(response) == 503);
    CHECK(header(response, "Monsoonward-Verdict") == "not-run");
    CHECK(statusOf(exchange(request("/safe/"))) == 200); // other requests go on
    CHECK(m_first.requests().size() == 2);
}
