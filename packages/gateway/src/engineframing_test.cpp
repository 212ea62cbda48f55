// Tests how the end of an engine's response is told from a response that broke off.
#include "gatewayfixture.h"

using namespace monsoonward;
using namespace std::chrono_literals;

namespace
{

/// @return headers of a success without a length
std::string
headWithoutLength(const std::string &request, const std::string &extra = "", const std::string &version = "HTTP/1.1")
{
    return version + " 200 OK\r\nSeal: s\r\nX-Own: 1\r\n" + extra + "Request-Id: " + header(request, "Request-Id")
        + "\r\n\r\n";
}

const std::string streamType = "Content-Type: text/event-stream\r\n";
const std::string lastChunk = "\r\n0\r\n\r\n";

bool endsWith(const std::string &text, const std::string &end)
{
    return text.size() >= end.size() && text.compare(text.size() - end.size(), end.size(), end) == 0;
}

/// A way to send the same body.
struct Framing
{
    std::string version;
    std::string headers;
};

const std::vector<Framing> framingsWithoutLength {
    {"HTTP/1.1", ""},
    {"HTTP/1.1", "Connection: close\r\n"},
    {"HTTP/1.0", ""},
    {"HTTP/1.0", "Connection: close\r\n"},
    {"HTTP/1.0", "Connection: keep-alive\r\n"},
};

/// @return the events' data in the order in which the caller received it, without chunk sizes
std::string withoutChunks(const std::string &response)
{
    std::string rest = bodyOf(response);
    std::string body;
    while (!rest.empty()) {
        const auto end = rest.find("\r\n");
        const auto size = end == std::string::npos ? 0 : std::stoul(rest.substr(0, end), nullptr, 16);
        if (size == 0) {
            break;
        }
        body += rest.substr(end + 2, size);
        rest.erase(0, std::min(rest.size(), end + 2 + size + 2));
    }
    return body;
}

} // namespace

TEST_CASE("a whole response that ends with its connection is forwarded with a length, and the connection isn't reused")
{
    for (const auto &it : framingsWithoutLength) {
        for (const std::string &body : {std::string(), std::string("hello"), std::string(300000, 'x')}) {
            CAPTURE(it.version + " " + it.headers);
            CAPTURE(body.size());
            GatewayFixture fixture;
            ScriptedEngine engine([&](const std::string &request) {
                return ScriptedResponse {headWithoutLength(request, it.headers, it.version) + body, true};
            });
            fixture.addEngine("a", engine.address());
            fixture.start();
            for (unsigned n = 0; n < 2; ++n) {
                const auto response = fixture.exchange(GatewayFixture::request("/once/"));
                CHECK(statusOf(response) == 200);
                CHECK(response.rfind("HTTP/1.1 ", 0) == 0);
                CHECK(header(response, "X-Own") == "1");
                CHECK(header(response, "Seal") == "s");
                CHECK(header(response, "Content-Length") == std::to_string(body.size()));
                CHECK(bodyOf(response) == body);
            }
        }
    }
}

TEST_CASE("a stream that ends with its connection after a whole event is complete")
{
    for (const auto &it : framingsWithoutLength) {
        CAPTURE(it.version + " " + it.headers);
        GatewayFixture fixture;
        ScriptedEngine engine([&](const std::string &request) {
            return ScriptedResponse {
                headWithoutLength(request, streamType + it.headers, it.version) + event(1) + event(2), true};
        });
        fixture.addEngine("a", engine.address());
        fixture.start();
        for (unsigned n = 0; n < 2; ++n) {
            const auto response = fixture.exchange(GatewayFixture::request("/stream/"));
            CHECK(statusOf(response) == 200);
            CHECK(header(response, "X-Own") == "1");
            CHECK(header(response, "Transfer-Encoding") == "chunked");
            CHECK(withoutChunks(response) == event(1) + event(2));
            CHECK(endsWith(response, lastChunk));
        }
        CHECK(engine.requests().size() == 2);
    }
}

TEST_CASE("a response that ends with a reset of its connection is never complete")
{
    for (const auto &it : framingsWithoutLength) {
        CAPTURE(it.version + " " + it.headers);
        GatewayFixture fixture;
        ScriptedEngine engine([&](const std::string &request) {
            const bool isStream = request.find("/stream/") != std::string::npos;
            ScriptedResponse response;
            response.bytes = isStream
                ? headWithoutLength(request, streamType + it.headers, it.version) + event(1) + event(2)
                : headWithoutLength(request, it.headers, it.version) + "hello";
            response.resets = true;
            return response;
        });
        fixture.addEngine("a", engine.address());
        fixture.start();
        const auto whole = fixture.exchange(GatewayFixture::request("/once/"));
        CHECK(statusOf(whole) == 502);
        CHECK(header(whole, "Monsoonward-Verdict") == "may-have-run");
        const auto stream = fixture.exchange(GatewayFixture::request("/stream/"));
        CHECK(stream.find(lastChunk) == std::string::npos);
    }
}

// The failed write of the request took the error of the reset, and the read that followed saw an orderly end.
TEST_CASE_FIXTURE(GatewayFixture, "a reset during a long request is not taken for the end of the response")
{
    m_maxBodyBytes = std::size_t {32} * 1024 * 1024;
    ScriptedEngine engine([](const std::string &request) {
        std::this_thread::sleep_for(100ms); // until the gateway waits for room to write the rest of the request
        ScriptedResponse response;
        response.bytes = headWithoutLength(request) + "hello";
        response.resets = true;
        return response;
    });
    engine.ignoresBodies = true;
    addEngine("a", engine.address());
    start();
    const auto response = exchange(request("/once/", "", std::string(std::size_t {24} * 1024 * 1024, 'x')));
    CHECK(statusOf(response) == 502);
    CHECK(header(response, "Monsoonward-Verdict") == "may-have-run");
}

TEST_CASE("a stream that breaks off anywhere is resumed after the last whole event, without gap or repeat")
{
    const auto makeEvent = [](unsigned id, const std::string &eol) {
        return "id: " + std::to_string(id) + eol + "data: x" + eol + eol;
    };
    for (const std::string &eol : {std::string("\n"), std::string("\r\n")}) {
        const auto all = makeEvent(9, eol) + makeEvent(10, eol);
        const auto whole = all + makeEvent(11, eol);
        for (const std::string &framing : {std::string("chunks"), std::string("last chunk"), std::string("end")}) {
            for (std::size_t cut = 0; cut < whole.size(); ++cut) {
                const auto firstEnd = makeEvent(9, eol).size();
                const bool isBoundary = cut == 0 || cut == firstEnd || cut == all.size();
                if (isBoundary && framing != "chunks") {
                    continue; // the end of the stream
                }
                CAPTURE(eol.size());
                CAPTURE(framing);
                CAPTURE(cut);
                std::atomic<unsigned> calls {0};
                std::string lastId;
                const auto respond = [&](const std::string &request) -> ScriptedResponse {
                    if (calls++ > 0) {
                        lastId = header(request, "Last-Event-Id");
                        std::string rest;
                        for (unsigned id = lastId.empty() ? 9 : std::stoul(lastId) + 1; id <= 11; ++id) {
                            rest += makeEvent(id, eol);
                        }
                        return {streamHeader(request) + chunk(rest) + "0\r\n\r\n"};
                    }
                    const auto part = whole.substr(0, cut);
                    if (framing == "end") {
                        return {headWithoutLength(request, streamType) + part, true};
                    }
                    return {streamHeader(request) + (part.empty() ? "" : chunk(part))
                                + (framing == "last chunk" ? "0\r\n\r\n" : ""),
                            true};
                };
                GatewayFixture fixture;
                ScriptedEngine first(respond);
                ScriptedEngine second(respond);
                fixture.addEngine("a", first.address());
                fixture.addEngine("b", second.address());
                fixture.allowRetries();
                fixture.start();
                const auto response = fixture.exchange(GatewayFixture::request("/stream/"));
                CHECK(calls == 2);
                CHECK(withoutChunks(response) == whole);
                CHECK(endsWith(response, lastChunk));
                CHECK(lastId == (cut < firstEnd ? "" : cut < all.size() ? "9" : "10"));
            }
        }
    }
}

TEST_CASE("a stream that ends inside an event and can't be resumed never looks complete")
{
    const std::string broken = event(1) + "id: 2\ndata: x\n";
    for (const bool isChunked : {false, true}) {
        for (const bool hasWholeEvent : {false, true}) {
            CAPTURE(isChunked);
            CAPTURE(hasWholeEvent);
            GatewayFixture fixture;
            ScriptedEngine engine([&](const std::string &request) -> ScriptedResponse {
                const auto body = hasWholeEvent ? broken : broken.substr(event(1).size());
                return isChunked ? ScriptedResponse {streamHeader(request) + chunk(body) + "0\r\n\r\n"}
                                 : ScriptedResponse {headWithoutLength(request, streamType) + body, true};
            });
            fixture.addEngine("a", engine.address());
            fixture.start();
            const auto response = fixture.exchange(GatewayFixture::request("/stream/"));
            CHECK(statusOf(response) == (hasWholeEvent ? 200 : 502));
            CHECK(response.find("id: 2") == std::string::npos);
            CHECK((response.find(event(1)) != std::string::npos) == hasWholeEvent);
            CHECK(response.find(lastChunk) == std::string::npos);
        }
    }
}

// A stream without IDs was started anew on another engine, and the caller got its events twice.
TEST_CASE_FIXTURE(GatewayFixture, "a stream whose events have no IDs is not resumed, since it would repeat them")
{
    const auto respond = [](const std::string &request) {
        return ScriptedResponse {streamHeader(request) + chunk("data: a\n\ndata: b"), true};
    };
    ScriptedEngine first(respond);
    ScriptedEngine second(respond);
    addEngine("a", first.address());
    addEngine("b", second.address());
    allowRetries();
    start();
    const auto response = exchange(request("/stream/"));
    CHECK(withoutChunks(response) == "data: a\n\n");
    CHECK(response.find(lastChunk) == std::string::npos);
    CHECK(first.requests().size() + second.requests().size() == 1);
}

// A blank line more than the events need was taken for the beginning of an event, and the stream for broken off.
TEST_CASE_FIXTURE(GatewayFixture, "a stream that ends with additional blank lines is complete")
{
    ScriptedEngine engine([](const std::string &request) {
        return ScriptedResponse {streamHeader(request) + chunk(event(1) + "\n") + "0\r\n\r\n"};
    });
    addEngine("a", engine.address());
    start();
    const auto response = exchange(request("/stream/"));
    CHECK(response.find(event(1)) != std::string::npos);
    CHECK(endsWith(response, lastChunk));
}
