// Tests that bytes without end from an engine are given up after a bounded number of them.
#include "gatewayfixture.h"

using namespace monsoonward;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t maxBytesRead =
    std::size_t {32} * 1024 * 1024; // the largest whole response, and what the sockets' buffers hold

std::string head(const std::string &request, const std::string &status, const std::string &extra)
{
    return "HTTP/1.1 " + status + "\r\nRequest-Id: " + header(request, "Request-Id") + "\r\n" + extra + "\r\n";
}

/// Bytes of an engine, and what the caller is told.
struct Case
{
    std::string name;
    std::string path;
    std::function<std::string(const std::string &)> start;
    std::string endless;
    unsigned status = 0;
    std::string verdict;
};

const std::string marked = "Seal: s\r\n";
const std::string chunked = "Transfer-Encoding: chunked\r\n";
const std::string endlessChunk = "10\r\n0123456789abcdef\r\n";
const std::string rejected = "Not-Run: 1\r\n";

const std::vector<Case> cases {
    {"bytes without a line end", "/once/", [](const std::string &) { return ""; }, "x", 502, "may-have-run"},
    {"status line without end",
     "/once/",
     [](const std::string &) { return "HTTP/1.1 200 "; },
     "x",
     502,
     "may-have-run"},
    {"header line without end",
     "/once/",
     [](const std::string &) { return "HTTP/1.1 200 OK\r\nX: "; },
     "x",
     502,
     "may-have-run"},
    {"header lines",
     "/once/",
     [](const std::string &) { return "HTTP/1.1 200 OK\r\n"; },
     "X: y\r\n",
     502,
     "may-have-run"},
    {"interim responses",
     "/once/",
     [](const std::string &) { return ""; },
     "HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\n",
     502,
     "may-have-run"},
    {"chunk size",
     "/once/",
     [](const std::string &it) { return head(it, "200 OK", marked + chunked); },
     "0",
     502,
     "may-have-run"},
    {"chunk extension",
     "/once/",
     [](const std::string &it) { return head(it, "200 OK", marked + chunked) + "5;x="; },
     "y",
     502,
     "may-have-run"},
    {"chunk extensions with one byte each",
     "/once/",
     [](const std::string &it) { return head(it, "200 OK", marked + chunked); },
     "1;x=" + std::string(4000, 'y') + "\r\nz\r\n",
     502,
     "may-have-run"},
    {"trailer",
     "/once/",
     [](const std::string &it) { return head(it, "200 OK", marked + chunked) + "0\r\n"; },
     "X: y\r\n",
     502,
     "may-have-run"},
    {"body of a success",
     "/once/",
     [](const std::string &it) { return head(it, "200 OK", marked); },
     "x",
     502,
     "may-have-run"},
    {"body of a failure",
     "/once/",
     [](const std::string &it) { return head(it, "500 Failed", ""); },
     "x",
     502,
     "may-have-run"},
    {"body of a rejection",
     "/once/",
     [](const std::string &it) { return head(it, "503 Full", rejected); },
     "x",
     503,
     "not-run"},
    {"chunked body of a rejection",
     "/once/",
     [](const std::string &it) { return head(it, "503 Full", rejected + chunked); },
     endlessChunk,
     503,
     "not-run"},
    {"chunk extension in the body of a rejection",
     "/once/",
     [](const std::string &it) { return head(it, "503 Full", rejected + chunked) + "5;x="; },
     "y",
     503,
     "not-run"},
    {"body of a misdirected request",
     "/once/",
     [](const std::string &it) { return head(it, "421 Misdirected", "Content-Length: 1000000000000\r\n"); },
     "x",
     503,
     "not-run"},
    {"body of a stale response",
     "/once/",
     [](const std::string &) { return "HTTP/1.1 200 OK\r\nSeal: s\r\nRequest-Id: other\r\n\r\n"; },
     "x",
     502,
     "may-have-run"},
    {"stale responses",
     "/once/",
     [](const std::string &) { return ""; },
     "HTTP/1.1 200 OK\r\nSeal: s\r\nRequest-Id: other\r\nContent-Length: 1\r\n\r\nx",
     502,
     "may-have-run"},
    {"first event",
     "/stream/",
     [](const std::string &it) { return streamHeader(it); },
     endlessChunk,
     502,
     "may-have-run"},
    {"later event",
     "/stream/",
     [](const std::string &it) { return streamHeader(it) + chunk(event(1)); },
     endlessChunk,
     200,
     ""},
    {"chunk extension in a stream",
     "/stream/",
     [](const std::string &it) { return streamHeader(it) + chunk(event(1)) + "5;x="; },
     "y",
     200,
     ""},
    {"bytes after a response", "/once/", [](const std::string &it) { return responseTo(it, "ok"); }, "x", 200, ""},
};

/// Checks that the gateway gives the engine up, and that the caller gets its answer at once.
void checkGivenUp(const Case &one)
{
    CAPTURE(one.name);
    GatewayFixture fixture;
    ScriptedEngine engine([&](const std::string &it) {
        ScriptedResponse response;
        response.bytes = one.start(it);
        response.endless = one.endless;
        return response;
    });
    fixture.addEngine("a", engine.address());
    fixture.start();
    const auto startedAt = std::chrono::steady_clock::now();
    const auto response = fixture.exchange(GatewayFixture::request(one.path));
    CHECK(std::chrono::steady_clock::now() - startedAt < 1s);
    CHECK(statusOf(response) == one.status);
    CHECK(header(response, "Monsoonward-Verdict") == one.verdict);
    if (one.path == "/stream/") {
        CHECK(response.find("\r\n0\r\n") == std::string::npos);
    }
    CHECK(eventually([&] { return engine.disconnectsWhileEndless == 1; }));
    CHECK(engine.endlessBytes < maxBytesRead);
    CHECK(engine.requests().size() == 1);
}

} // namespace

// Such bytes were read until the time limit, some of them into a buffer without limit.
TEST_CASE("bytes without end from an engine are given up, and the caller gets its answer at once")
{
    for (const auto &one : cases) {
        checkGivenUp(one);
    }
}

// Each small chunk costs a pass through the event loop, until the limit for a whole body is reached.
TEST_CASE("a chunked body without end from an engine is given up at once")
{
    checkGivenUp({"chunked body of a success",
                  "/once/",
                  [](const std::string &it) { return head(it, "200 OK", marked + chunked); },
                  endlessChunk,
                  502,
                  "may-have-run"});
}

TEST_CASE("a rejection whose body never ends is retried on another engine")
{
    for (const bool isSilent : {false, true}) {
        CAPTURE(isSilent);
        GatewayFixture fixture;
        std::atomic<unsigned> calls {0};
        const auto respond = [&](const std::string &it) {
            ScriptedResponse response;
            if (calls++ > 0) {
                response.bytes = responseTo(it, "ok");
                return response;
            }
            response.bytes = head(it, "503 Full", rejected + "Content-Length: 10000000000\r\n") + "x";
            response.hangs = isSilent;
            response.endless = isSilent ? "" : "x";
            return response;
        };
        ScriptedEngine first(respond);
        ScriptedEngine second(respond);
        fixture.addEngine("a", first.address());
        fixture.addEngine("b", second.address());
        fixture.allowRetries();
        fixture.start();
        const auto startedAt = std::chrono::steady_clock::now();
        CHECK(bodyOf(fixture.exchange(GatewayFixture::request("/once/"))) == "ok");
        CHECK(std::chrono::steady_clock::now() - startedAt < 1s);
    }
}

// The body of a failure in place of the rest of a stream was read until the time limit.
TEST_CASE_FIXTURE(GatewayFixture, "an endless failure of the engine that should resume a stream is given up")
{
    std::atomic<unsigned> calls {0};
    const auto respond = [&](const std::string &it) {
        ScriptedResponse response;
        if (calls++ == 0) {
            response.bytes = streamHeader(it) + chunk(event(1));
            response.closesConnection = true;
            return response;
        }
        response.bytes = head(it, "500 Failed", "");
        response.endless = "x";
        return response;
    };
    ScriptedEngine first(respond);
    ScriptedEngine second(respond);
    addEngine("a", first.address());
    addEngine("b", second.address());
    allowRetries();
    start();
    const auto startedAt = std::chrono::steady_clock::now();
    const auto response = exchange(request("/stream/"));
    CHECK(std::chrono::steady_clock::now() - startedAt < 1s);
    CHECK(response.find(event(1)) != std::string::npos);
    CHECK(response.find("\r\n0\r\n") == std::string::npos);
    CHECK(first.endlessBytes + second.endlessBytes < maxBytesRead);
    CHECK(eventually([&] { return first.disconnectsWhileEndless + second.disconnectsWhileEndless == 1; }));
}

// Events that the caller had already were dropped without limit.
TEST_CASE_FIXTURE(GatewayFixture, "an engine that repeats old events without end instead of resuming is given up")
{
    std::atomic<unsigned> calls {0};
    const auto respond = [&](const std::string &it) {
        ScriptedResponse response;
        response.bytes = streamHeader(it) + chunk(event(1) + event(2));
        response.closesConnection = true;
        response.endless = calls++ == 0 ? "" : chunk(event(1));
        return response;
    };
    ScriptedEngine first(respond);
    ScriptedEngine second(respond);
    addEngine("a", first.address());
    addEngine("b", second.address());
    allowRetries();
    start();
    const auto startedAt = std::chrono::steady_clock::now();
    const auto response = exchange(request("/stream/"));
    CHECK(std::chrono::steady_clock::now() - startedAt < 1s);
    CHECK(response.find("\r\n0\r\n") == std::string::npos);
    CHECK(first.endlessBytes + second.endlessBytes < maxBytesRead);
}
