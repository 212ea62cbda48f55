#include "../../transport/src/loopback.h"
#include "handlers.h"
#include "httplistener.h"
#include "streamlistener.h"
#include "targetnode.h"
#include "wholeanswersink.h"

#include "httpserver.h"

#include <boost/asio/ip/tcp.hpp>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <future>
#include <thread>

using namespace monsoonward;

namespace
{

const std::string customerKey = "key-of-lann";
const std::string otherCustomerKey = "key-of-soizic";
const std::string completeAnswer = R"({"choices":[{"text":"ok","finish_reason":"stop"}],"usage":{"prompt_tokens":3}})";
const std::string completeEvents = "data: {\"choices\":[{\"text\":\"a\",\"finish_reason\":null}]}\n\n"
                                   "data: {\"choices\":[{\"text\":\"\",\"finish_reason\":\"stop\"}]}\n\n"
                                   "data: [DONE]\n\n";

Settings makeSettings(HostRole role, const std::string &host)
{
    Settings settings;
    settings.role = role;
    settings.host = HostName(host);
    settings.region = RegionName("north");
    settings.sharedSecret = "a secret of the tests";
    settings.heartbeatInterval = std::chrono::milliseconds(100);
    settings.heartbeatTimeout = std::chrono::seconds(30);
    settings.maxBodyBytes = 4 * 1024 * 1024;
    settings.maxOpenRequests = 100;
    settings.maxConnections = 16;
    settings.callerListen = {"127.0.0.1", freePort()};
    settings.peerListen = {"127.0.0.1", freePort()};
    return settings;
}

/// An HTTP server on a detached thread. It is never destroyed, since the thread uses it until the program ends.
class DetachedServer
{
public:
    explicit DetachedServer(standin::HttpHandler handler)
        : m_server(keepUntilExit(std::make_unique<standin::HttpServer>(0, std::move(handler))))
    {
        std::thread([&server = m_server] { server.run(); }).detach();
    }
    std::uint16_t port() const
    {
        return m_server.port();
    }

private:
    static standin::HttpServer &keepUntilExit(std::unique_ptr<standin::HttpServer> server)
    {
        static auto *servers = new std::vector<std::unique_ptr<standin::HttpServer>>();
        servers->push_back(std::move(server));
        return *servers->back();
    }
    standin::HttpServer &m_server;
};

class UnresponsiveHostList : public HostList
{
public:
    void fetch(Callback /*done*/) override
    {
    }
};

/// An entry and a target in one process, with a fake engine and a fake plain service.
class Fleet
{
public:
    Fleet(standin::HttpHandler engine, standin::HttpHandler plain)
        : m_entrySettings(makeSettings(HostRole::Entry, "e1"))
        , m_engine(std::move(engine))
        , m_plain(std::move(plain))
        , m_engines(makeHttpEngineClient())
        , m_entry(m_entrySettings, m_clock, m_random, m_table, m_hosts, m_events, m_metrics)
        , m_target(makeSettings(HostRole::Target, "t1"), m_clock, *m_engines, m_events, m_metrics)
        , m_handler(m_entry)
        , m_server({m_entrySettings.callerListen, m_entrySettings.maxBodyBytes, 16}, m_handler)
    {
        m_entry.startControl(nullptr);
        m_target.startControl(nullptr);
        REQUIRE(m_entry.startTransport());
        REQUIRE(m_target.startTransport());
        REQUIRE(m_server.start());
        const auto configuration = makeConfiguration();
        m_entry.loop().call([&] { m_entry.adopt(configuration); });
        m_target.loop().call([&] { m_target.adopt(configuration); });
    }
    ~Fleet()
    {
        m_server.stop();
    }
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    HttpReply ask(const HttpRequest &request)
    {
        std::promise<HttpReply> answered;
        auto answer = answered.get_future();
        const auto call = m_handler.handle(request, [&](HttpReply it) { answered.set_value(std::move(it)); });
        return answer.get();
    }
    static HttpRequest completion(const std::string &prompt)
    {
        const nlohmann::json body {{"model", "survey"}, {"prompt", prompt}};
        return {"POST", "/v1/completions", {{"Authorization", "Bearer " + customerKey}}, body.dump()};
    }
    const Address &callers() const
    {
        return m_entrySettings.callerListen;
    }
    EntryNode &entry()
    {
        return m_entry;
    }
    TargetNode &target()
    {
        return m_target;
    }

private:
    ConfigurationPtr makeConfiguration() const
    {
        Configuration it;
        it.revision = 1;
        it.regions = {{RegionName("north")}};
        it.dataCentres = {{DataCentreName("dc"), RegionName("north")}};
        it.hosts = {{HostName("e1"), DataCentreName("dc"), HostRole::Entry, m_entrySettings.peerListen, {}, {}},
                    {HostName("t1"), DataCentreName("dc"), HostRole::Target, {}, {}, {}}};
        it.tiers = {{Tier(2), "batch", std::chrono::minutes(2)}, {Tier(0), "press", std::chrono::minutes(2)}};
        it.services = {{ServiceName("booking"), ServiceKind::Plain, {}, "", {{"GET", "/"}}},
                       {ServiceName("survey"), ServiceKind::Model, ModelName("m"), "1", {}}};
        it.targets = {{TargetName("t1-booking"), HostName("t1"), ServiceName("booking"), {}, false},
                      {TargetName("t1-survey"), HostName("t1"), ServiceName("survey"), {}, false}};
        const Address plain {"127.0.0.1", m_plain.port()};
        const Address engine {"127.0.0.1", m_engine.port()};
        it.engines = {{EngineName("e-booking"), TargetName("t1-booking"), plain, "", 4, 0},
                      {EngineName("e-survey"), TargetName("t1-survey"), engine, "", 4, 0}};
        it.customers = {{CustomerName("lann"), {sha256(customerKey)}, {Tier(0), Tier(2)}, 1, {}},
                        {CustomerName("soizic"), {sha256(otherCustomerKey)}, {Tier(2)}, 1, {}}};
        return std::make_shared<const Configuration>(it);
    }

    Settings m_entrySettings;
    SteadyClock m_clock;
    SeededRandom m_random {1};
    FakeTable m_table;
    UnresponsiveHostList m_hosts;
    NullEventLog m_events;
    Metrics m_metrics;
    DetachedServer m_engine;
    DetachedServer m_plain;
    std::unique_ptr<EngineClient> m_engines;
    EntryNode m_entry;
    TargetNode m_target;
    CallerHandler m_handler;
    HttpListener m_server;
};

/// An HTTP/2 caller that records what it receives.
class StreamCaller : public H2Handler
{
public:
    explicit StreamCaller(const Address &entry)
        : m_connection(std::make_shared<H2Connection>(m_loop, H2Side::Client, H2Limits {10, 64 * 1024}, *this))
    {
        m_loop.start([] {});
        m_loop.post([this, entry] { m_connection->connect(entry); });
    }
    ~StreamCaller() override
    {
        m_loop.post([this] { m_connection->close(); });
        m_loop.stop();
    }
    StreamCaller(const StreamCaller &) = delete;
    StreamCaller &operator=(const StreamCaller &) = delete;

    void ask(const HttpRequest &request)
    {
        waitFor([this] { return m_connected; });
        m_loop.post([this, request] {
            m_stream = m_connection->open({{":method", request.method},
                                           {":scheme", "http"},
                                           {":authority", "e1"},
                                           {":path", request.path},
                                           {"authorization", "Bearer " + customerKey}});
            m_connection->write(m_stream, request.body);
            m_connection->finish(m_stream);
        });
    }
    void reset()
    {
        m_loop.post([this] { m_connection->reset(m_stream); });
    }
    bool waitFor(const std::function<bool()> &condition)
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, std::chrono::seconds(20), condition);
    }

    HeaderList headers; // includes trailers
    std::string body;
    bool ended = false;
    bool closed = false;

private:
    void update(const std::function<void()> &apply)
    {
        const std::lock_guard lock(m_mutex);
        apply();
        m_changed.notify_all();
    }
    void connected() override
    {
        update([this] { m_connected = true; });
    }
    void streamHeaders(StreamId /*stream*/, const Headers &list) override
    {
        update([&] { headers.insert(headers.end(), list.begin(), list.end()); });
    }
    void streamData(StreamId stream, std::string_view bytes) override
    {
        m_connection->consume(stream, bytes.size());
        update([&] { body.append(bytes); });
    }
    void streamEnded(StreamId /*stream*/) override
    {
        update([this] { ended = true; });
    }
    void streamClosed(StreamId /*stream*/) override
    {
        update([this] { closed = true; });
    }
    void streamSent(StreamId /*stream*/, std::size_t /*sent*/) override
    {
    }
    void disconnected(const std::string & /*why*/) override
    {
        update([this] { closed = true; });
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    IoLoop m_loop;
    std::shared_ptr<H2Connection> m_connection;
    StreamId m_stream = 0;
    bool m_connected = false;
};

std::string verdictOf(const HttpReply &reply)
{
    const auto *verdict = findHeader(reply.headers, verdictHeader);
    return verdict == nullptr ? "" : *verdict;
}

/// Makes an engine that reports itself idle in /metrics and passes all other requests to @p complete.
standin::HttpHandler makeEngineHandler(standin::HttpHandler complete)
{
    return [complete = std::move(complete)](const standin::HttpRequest &request, standin::HttpResponder &responder) {
        if (request.target == "/metrics") {
            responder.respond(200, "text/plain", "vllm:num_requests_running 0\nvllm:num_requests_waiting 0\n");
        } else {
            complete(request, responder);
        }
    };
}

void respondNotFound(const standin::HttpRequest & /*request*/, standin::HttpResponder &responder)
{
    responder.respond(404, "text/plain", "");
}

} // namespace

TEST_CASE("prompts of 10 bytes and 2 MiB are returned complete")
{
    Fleet fleet(
        makeEngineHandler([](const standin::HttpRequest &request, standin::HttpResponder &responder) {
            const auto body = nlohmann::json::parse(request.body);
            const nlohmann::json answer {{"choices", {{{"text", body.at("prompt")}, {"finish_reason", "stop"}}}}};
            responder.respond(200, "application/json", answer.dump());
        }),
        respondNotFound);
    for (const std::size_t size : {std::size_t {10}, std::size_t {2} * 1024 * 1024}) {
        const std::string prompt(size, 'p');
        const auto reply = fleet.ask(Fleet::completion(prompt));
        REQUIRE(reply.status == 200);
        CHECK(verdictOf(reply) == "completed");
        CHECK(nlohmann::json::parse(reply.body).at("choices").at(0).at("text") == prompt);
    }
}

TEST_CASE("an engine's event stream is passed on unchanged")
{
    Fleet fleet(makeEngineHandler([](const standin::HttpRequest & /*request*/, standin::HttpResponder &responder) {
                    responder.begin(200, "text/event-stream");
                    responder.chunk(completeEvents.substr(0, 50));
                    responder.chunk(completeEvents.substr(50));
                    responder.end();
                }),
                respondNotFound);
    const auto reply = fleet.ask(Fleet::completion("x"));
    CHECK(reply.status == 200);
    CHECK(reply.body == completeEvents);
}

TEST_CASE("an incomplete answer is never delivered, and its request is not retried")
{
    std::atomic<int> runs {0};
    std::string fault;
    Fleet fleet(makeEngineHandler([&](const standin::HttpRequest & /*request*/, standin::HttpResponder &responder) {
                    ++runs;
                    if (fault == "cut before the answer") {
                        responder.cut();
                        return;
                    }
                    if (fault == "error status") {
                        responder.respond(500, "application/json", completeAnswer);
                        return;
                    }
                    if (fault == "half a JSON answer") {
                        responder.respond(200, "application/json", completeAnswer.substr(0, 20));
                        return;
                    }
                    responder.begin(200, "text/event-stream");
                    responder.chunk(completeEvents.substr(0, 60));
                    if (fault == "cut in the middle") {
                        responder.cut();
                        return;
                    }
                    responder.chunk(fault == "malformed event" ? "data: {\"cho\n\n" : "");
                    responder.end();
                }),
                respondNotFound);
    for (const auto *it : {"cut before the answer",
                           "error status",
                           "half a JSON answer",
                           "cut in the middle",
                           "malformed event",
                           "no [DONE]"}) {
        fault = it;
        runs = 0;
        const auto reply = fleet.ask(Fleet::completion(fault));
        CAPTURE(fault);
        CHECK(reply.status == 502);
        CHECK(verdictOf(reply) == "may-have-run");
        CHECK(runs == 1);
    }
}

TEST_CASE("a refused connection to the engine gives verdict not-run")
{
    class Handler : public EngineRunHandler
    {
        bool answerBegin(unsigned /*status*/, const HeaderList & /*headers*/) override
        {
            return true;
        }
        bool answerBytes(std::string_view /*bytes*/) override
        {
            return true;
        }
    };
    const auto client = makeHttpEngineClient();
    Handler handler;
    const auto run = client->makeRun({"127.0.0.1", freePort()}, Fleet::completion("x"));
    CHECK(run->run(handler).verdict == Verdict::NotRun);
}

TEST_CASE("a plain service gets method, path, query, headers and body unchanged")
{
    std::atomic<int> runs {0};
    standin::HttpRequest seen;
    Fleet fleet(makeEngineHandler(respondNotFound),
                [&](const standin::HttpRequest &request, standin::HttpResponder &responder) {
                    ++runs;
                    seen = request;
                    responder.respond(201, "text/plain", "made");
                });
    const auto reply = fleet.ask({"PUT",
                                  "/services/booking/rollers/7%20a?x=1&y=%2F",
                                  {{"Authorization", "Bearer " + customerKey}, {"X-Press", "3"}},
                                  "body \x01"});
    CHECK(reply.status == 201);
    CHECK(reply.body == "made");
    CHECK(verdictOf(reply) == "completed");
    CHECK(runs == 1);
    CHECK(seen.method == "PUT");
    CHECK(seen.target == "/rollers/7%20a?x=1&y=%2F");
    CHECK(seen.header("X-Press") == "3");
    CHECK(seen.header("Authorization").empty());
    CHECK(seen.body == "body \x01");
}

TEST_CASE("an unknown key or service, a forbidden tier or a malformed body is refused before the request runs")
{
    Fleet fleet(makeEngineHandler(respondNotFound), respondNotFound);
    auto unknownKey = Fleet::completion("x");
    unknownKey.headers = {{"Authorization", "Bearer nobody"}};
    CHECK(fleet.ask(unknownKey).status == 401);
    auto tier = Fleet::completion("x");
    tier.headers = {{"Authorization", "Bearer " + otherCustomerKey}, {tierHeader, "press"}};
    CHECK(fleet.ask(tier).status == 403);
    auto service = Fleet::completion("x");
    service.body = R"({"model":"nothing"})";
    CHECK(fleet.ask(service).status == 404);
    auto deep = Fleet::completion("x");
    deep.body = std::string(100000, '[');
    const auto reply = fleet.ask(deep);
    CHECK(reply.status == 400);
    CHECK(verdictOf(reply) == "not-run");
}

TEST_CASE("a caller that disconnects cancels the run at the engine")
{
    std::atomic<bool> started {false};
    std::atomic<bool> disconnected {false};
    Fleet fleet(makeEngineHandler([&](const standin::HttpRequest & /*request*/, standin::HttpResponder &responder) {
                    started = true;
                    while (!responder.clientGone()) {
                        std::this_thread::sleep_for(std::chrono::milliseconds(5));
                    }
                    disconnected = true;
                    responder.cut();
                }),
                respondNotFound);
    CallerHandler handler(fleet.entry());
    std::promise<HttpReply> answered;
    auto answer = answered.get_future();
    const auto call = handler.handle(Fleet::completion("x"), [&](HttpReply it) { answered.set_value(std::move(it)); });
    while (!started) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    call->cancel();
    CHECK(verdictOf(answer.get()) == "may-have-run");
    while (!disconnected) { // a run that isn't cancelled hangs here until the test's timeout
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
}

TEST_CASE("over HTTP a caller that closes its connection cancels the run at the engine")
{
    std::atomic<bool> started {false};
    std::atomic<bool> disconnected {false};
    Fleet fleet(makeEngineHandler([&](const standin::HttpRequest & /*request*/, standin::HttpResponder &responder) {
                    started = true;
                    while (!responder.clientGone()) {
                        std::this_thread::sleep_for(std::chrono::milliseconds(5));
                    }
                    disconnected = true;
                    responder.cut();
                }),
                respondNotFound);
    const auto body = Fleet::completion("x").body;
    {
        boost::asio::ip::tcp::iostream connection(fleet.callers().ip, std::to_string(fleet.callers().port));
        connection << "POST /v1/completions HTTP/1.1\r\nHost: e1\r\nAuthorization: Bearer " << customerKey
                   << "\r\nContent-Length: " << body.size() << "\r\n\r\n"
                   << body << std::flush;
        while (!started) {
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
    }
    while (!disconnected) { // a run that isn't cancelled hangs here until the test's timeout
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
}

TEST_CASE("over HTTP, ambiguous or oversized requests are refused and valid ones answered")
{
    Fleet fleet(makeEngineHandler([](const standin::HttpRequest & /*request*/, standin::HttpResponder &responder) {
                    responder.respond(200, "application/json", completeAnswer);
                }),
                respondNotFound);
    const auto statusLine = [&](const std::string &text) {
        boost::asio::ip::tcp::iostream connection(fleet.callers().ip, std::to_string(fleet.callers().port));
        connection << text << std::flush;
        std::string line;
        std::getline(connection, line);
        return line.substr(0, 12);
    };
    const auto body = Fleet::completion("x").body;
    const std::string head =
        "POST /v1/completions HTTP/1.1\r\nHost: e1\r\nAuthorization: Bearer " + customerKey + "\r\nContent-Length: ";
    CHECK(statusLine(head + std::to_string(body.size()) + "\r\n\r\n" + body) == "HTTP/1.1 200");
    CHECK(statusLine(head + "5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n") == "HTTP/1.1 400");
    CHECK(statusLine(head + "99999999\r\n\r\n") == "HTTP/1.1 413");
    CHECK(statusLine(head + "-1\r\n\r\n") == "HTTP/1.1 400");
    CHECK(statusLine("garbage\r\n\r\n") == "HTTP/1.1 400");
    const std::string chunkedHead = "POST /v1/completions HTTP/1.1\r\nHost: e1\r\nAuthorization: Bearer " + customerKey
        + "\r\nTransfer-Encoding: chunked\r\n\r\n";
    std::ostringstream chunked;
    chunked << chunkedHead << std::hex << body.size() << "\r\n" << body << "\r\n0\r\n\r\n";
    CHECK(statusLine(chunked.str()) == "HTTP/1.1 200");
    const std::string longLine = "GET /" + std::string(std::size_t {64} * 1024, 'a') + " HTTP/1.1\r\n\r\n";
    CHECK(statusLine(longLine) == "HTTP/1.1 431");
}

TEST_CASE("a graceful shutdown refuses new requests and finishes those in progress")
{
    std::atomic<bool> finish {false};
    std::atomic<bool> started {false};
    Fleet fleet(makeEngineHandler([&](const standin::HttpRequest & /*request*/, standin::HttpResponder &responder) {
                    started = true;
                    while (!finish) {
                        std::this_thread::sleep_for(std::chrono::milliseconds(5));
                    }
                    responder.respond(200, "application/json", completeAnswer);
                }),
                respondNotFound);
    HttpReply reply;
    std::thread caller([&] { reply = fleet.ask(Fleet::completion("x")); });
    while (!started) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    fleet.target().beginShutdown();
    fleet.entry().beginShutdown();
    CHECK_FALSE(fleet.entry().idle());
    CHECK_FALSE(fleet.target().idle());
    const auto late = fleet.ask(Fleet::completion("y"));
    CHECK(late.status == 503);
    CHECK(verdictOf(late) == "not-run");
    finish = true;
    caller.join();
    CHECK(reply.status == 200);
    CHECK(fleet.entry().idle());
}

TEST_CASE("over HTTP/2 tokens are streamed as the engine sends them, and the verdict is a trailer")
{
    std::atomic<bool> finish {false};
    Fleet fleet(makeEngineHandler([&](const standin::HttpRequest & /*request*/, standin::HttpResponder &responder) {
                    responder.begin(200, "text/event-stream");
                    responder.chunk(completeEvents.substr(0, 60));
                    while (!finish) {
                        std::this_thread::sleep_for(std::chrono::milliseconds(5));
                    }
                    responder.chunk(completeEvents.substr(60));
                    responder.end();
                }),
                respondNotFound);
    const Address address {"127.0.0.1", freePort()};
    StreamListener listener({address, std::size_t {1024} * 1024}, fleet.entry());
    REQUIRE(listener.start());
    StreamCaller caller(address);
    caller.ask(Fleet::completion("x"));
    CHECK(caller.waitFor([&] { return caller.body.size() == 60; }));
    finish = true;
    CHECK(caller.waitFor([&] { return caller.ended; }));
    CHECK(caller.body == completeEvents);
    const auto *verdict = findHeader(caller.headers, verdictHeader);
    REQUIRE(verdict != nullptr);
    CHECK(*verdict == "completed");
}

TEST_CASE("over HTTP/2 a caller that resets its stream cancels the run at the engine")
{
    std::atomic<bool> disconnected {false};
    Fleet fleet(makeEngineHandler([&](const standin::HttpRequest & /*request*/, standin::HttpResponder &responder) {
                    responder.begin(200, "text/event-stream");
                    responder.chunk(completeEvents.substr(0, 60));
                    while (!responder.clientGone()) {
                        std::this_thread::sleep_for(std::chrono::milliseconds(5));
                    }
                    disconnected = true;
                    responder.cut();
                }),
                respondNotFound);
    const Address address {"127.0.0.1", freePort()};
    StreamListener listener({address, std::size_t {1024} * 1024}, fleet.entry());
    REQUIRE(listener.start());
    StreamCaller caller(address);
    caller.ask(Fleet::completion("x"));
    CHECK(caller.waitFor([&] { return !caller.body.empty(); }));
    caller.reset();
    while (!disconnected) { // a run that isn't cancelled hangs here until the test's timeout
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    while (fleet.entry().openRequests() != 0) { // ends when the target has confirmed the cancellation
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
}

TEST_CASE("over HTTP/2 an answer that is cut off resets the stream")
{
    Fleet fleet(makeEngineHandler([](const standin::HttpRequest & /*request*/, standin::HttpResponder &responder) {
                    responder.begin(200, "text/event-stream");
                    responder.chunk(completeEvents.substr(0, 60));
                    responder.cut();
                }),
                respondNotFound);
    const Address address {"127.0.0.1", freePort()};
    StreamListener listener({address, std::size_t {1024} * 1024}, fleet.entry());
    REQUIRE(listener.start());
    StreamCaller caller(address);
    caller.ask(Fleet::completion("x"));
    CHECK(caller.waitFor([&] { return caller.closed; }));
    CHECK_FALSE(caller.ended);
}
