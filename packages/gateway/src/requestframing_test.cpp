// Tests how callers' bodies are framed: an engine reads one request with the caller's bytes, or nothing is sent to it.
#include "gatewayfixture.h"

#include <rapidcheck.h>

#include <array>
#include <set>

using namespace monsoonward;

namespace
{

const std::string crlf = "\r\n";
const std::string smuggled = "POST /secret HTTP/1.1\r\nRequest-Id: inner\r\nContent-Length: 0\r\n\r\n";

std::string requestFramed(const std::vector<std::string> &lines, const std::string &bytes)
{
    std::string text = "POST /once/x HTTP/1.1\r\nHost: h\r\nKey: k\r\nRequest-Id: outer\r\nConnection: close\r\n";
    for (const auto &it : lines) {
        text += it + crlf;
    }
    return text + crlf + bytes;
}

std::string inChunks(const std::string &body)
{
    return (body.empty() ? "" : chunk(body)) + "0\r\n\r\n";
}

class FramingFixture : public GatewayFixture
{
public:
    FramingFixture()
    {
        addEngine("e1", m_engine.address());
        start();
    }
    /// @return the request that the engine read last
    std::string lastRequest() const
    {
        const auto requests = m_engine.requests();
        return requests.empty() ? "" : requests.back();
    }
    /// @return the bodies of the requests that the engine read since the last call
    std::vector<std::string> bodies()
    {
        std::vector<std::string> bodies;
        const auto requests = m_engine.requests();
        for (; m_seen < requests.size(); ++m_seen) {
            CHECK(header(requests[m_seen], "Request-Id") == "outer");
            bodies.push_back(bodyOf(requests[m_seen]));
        }
        return bodies;
    }

private:
    ScriptedEngine m_engine {[](const std::string &it) { return ScriptedResponse {responseTo(it, "ok")}; }};
    std::size_t m_seen = 0;
};

} // namespace

TEST_CASE_FIXTURE(FramingFixture, "each framing of a body is read as one request, or refused")
{
    struct Row
    {
        std::vector<std::string> lines;
        std::string bytes;
        unsigned status;
    };
    const auto chunked = inChunks(smuggled);
    const auto length = "Content-Length: " + std::to_string(smuggled.size());
    const std::vector<Row> rows {
        {{}, "", 200},
        {{"Content-Length: 0"}, "", 200},
        {{length}, smuggled, 200},
        {{"Content-Length: \t" + std::to_string(smuggled.size()) + " "}, smuggled, 200},
        {{"Transfer-Encoding: chunked"}, chunked, 200},
        {{"Transfer-Encoding: \t CHUNKed \t"}, chunked, 200},
        {{"transfer-encoding: , chunked ,"}, chunked, 200},
        {{"Transfer-Encoding: ,", "Transfer-Encoding: chunked"}, chunked, 200},
        {{"Transfer-Encoding: identity", "Transfer-Encoding: chunked"}, chunked, 501},
        {{"Transfer-Encoding: identity, chunked"}, chunked, 501},
        {{"Transfer-Encoding: gzip"}, smuggled, 501},
        {{"Transfer-Encoding: gzip", "Transfer-Encoding: chunked"}, chunked, 501},
        {{"Transfer-Encoding: chunked", "Transfer-Encoding: gzip"}, chunked, 400},
        {{"Transfer-Encoding: xchunked"}, smuggled, 501},
        {{"Transfer-Encoding: chunked, chunked"}, chunked, 400},
        {{"Transfer-Encoding: chunked", "Transfer-Encoding: chunked"}, chunked, 400},
        {{"Transfer-Encoding: chunked;q=1"}, chunked, 400},
        {{"Transfer-Encoding: chun ked"}, smuggled, 400},
        {{"Transfer-Encoding:"}, smuggled, 400},
        {{"Transfer-Encoding: chunked", length}, chunked, 400},
        {{length, "Transfer-Encoding: chunked"}, chunked, 400},
        {{length, "Transfer-Encoding: gzip"}, smuggled, 400},
        {{length, length}, smuggled, 400},
        {{length, "Content-Length: 1"}, smuggled, 400},
        {{length + ", " + std::to_string(smuggled.size())}, smuggled, 400},
        {{"Content-Length: -1"}, smuggled, 400},
        {{"Content-Length: +1"}, smuggled, 400},
        {{"Content-Length: 0x10"}, smuggled, 400},
        {{"Content-Length:"}, smuggled, 400},
        {{"Transfer-Encoding : chunked"}, chunked, 400},
        {{length, "Host: h"}, smuggled, 400},
        {{length, "host: other"}, smuggled, 400},
    };
    for (const auto &it : rows) {
        INFO(requestFramed(it.lines, ""));
        const auto response = exchange(requestFramed(it.lines, it.bytes));
        CHECK(statusOf(response) == it.status);
        const auto read = bodies();
        const auto expected = it.bytes.empty() ? "" : smuggled;
        CHECK(read == (it.status == 200 ? std::vector<std::string> {expected} : std::vector<std::string> {}));
    }
}

TEST_CASE_FIXTURE(FramingFixture, "codings in HTTP/1.0 are refused, since that version has none")
{
    auto text = requestFramed({"Transfer-Encoding: chunked"}, inChunks(smuggled));
    text.replace(text.find("HTTP/1.1"), 8, "HTTP/1.0");
    CHECK(statusOf(exchange(text)) == 400);
    CHECK(bodies().empty());
}

TEST_CASE_FIXTURE(FramingFixture, "trailers are not passed on as headers")
{
    const auto text = requestFramed({"Transfer-Encoding: chunked", "Trailer: X-Late"},
                                    chunk("abc") + "0\r\nX-Late: 1\r\nHost: other\r\nRequest-Id: other\r\n\r\n");
    CHECK(statusOf(exchange(text)) == 200);
    CHECK(bodies() == std::vector<std::string> {"abc"});
    CHECK(header(lastRequest(), "X-Late").empty());
    CHECK(lastRequest().find("other") == std::string::npos);
}

TEST_CASE_FIXTURE(FramingFixture, "headers that the connection header names on any of its lines are not passed on")
{
    const auto text = requestFramed(
        {"Connection: X-One", "Connection: Host, Request-Id, X-Two", "X-One: 1", "X-Two: 2", "Content-Length: 3"},
        "abc");
    CHECK(statusOf(exchange(text)) == 200);
    CHECK(bodies() == std::vector<std::string> {"abc"});
    CHECK(header(lastRequest(), "Host") == "h");
    CHECK(header(lastRequest(), "X-One").empty());
    CHECK(header(lastRequest(), "X-Two").empty());
}

TEST_CASE_FIXTURE(FramingFixture, "whatever the lines on framing are, an engine reads the caller's bytes or nothing")
{
    const std::vector<std::string> names {
        "Transfer-Encoding", "transfer-encoding", "TRANSFER-ENCODING", "Content-Length", "Connection", "TE"};
    const std::vector<std::string> parts {
        "chunked", "Chunked", "identity", "gzip", "", " ", ",", "\t", "close", "0", "3", ";", "content-length"};
    const std::vector<std::string> separators {"", ",", ", ", " "};
    const std::vector<std::string> contents {"", "abc", smuggled};
    const bool passed = rc::check("framings", [&](const std::array<std::uint32_t, 20> &choices) {
        auto choice = choices.begin();
        const auto oneOf = [&](const std::vector<std::string> &texts) { return texts[*choice++ % texts.size()]; };
        std::vector<std::string> lines;
        for (auto n = *choice++ % 4; n > 0; --n) {
            lines.push_back(oneOf(names) + ":" + oneOf(parts) + oneOf(separators) + oneOf(parts));
        }
        const auto content = oneOf(contents);
        const bool isInChunks = *choice++ % 2 == 0;
        const auto bytes = isInChunks ? inChunks(content) : content;
        if (*choice++ % 2 == 0) {
            lines.push_back(isInChunks ? "Transfer-Encoding: chunked"
                                       : "Content-Length: " + std::to_string(content.size()));
        }
        const auto status = statusOf(exchange(requestFramed(lines, bytes)));
        const auto read = bodies();
        const std::size_t expected = status == 200 ? 1 : 0;
        RC_ASSERT(read.size() == expected);
        // Without a length, or with one of 0 or 3, the rest is what follows the request.
        const std::set<std::string> allowed {"", content, bytes.substr(0, 3)};
        const bool isAllowed = read.empty() || allowed.count(read.front()) != 0;
        RC_ASSERT(isAllowed);
    });
    CHECK(passed);
}

TEST_CASE_FIXTURE(GatewayFixture, "requests that a caller sent in advance are not passed on once it has left")
{
    ScriptedEngine engine([](const std::string &it) {
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        return ScriptedResponse {responseTo(it, "ok")};
    });
    addEngine("e1", engine.address());
    start();
    {
        tcp::socket socket(m_callerIo);
        connect(socket);
        std::string requests;
        for (const auto *const it : {"id1", "id2", "id3"}) {
            requests += "POST /once/x HTTP/1.1\r\nHost: h\r\nKey: k\r\nRequest-Id: " + std::string(it)
                + "\r\nContent-Length: 0\r\n\r\n";
        }
        asio::write(socket, asio::buffer(requests));
        CHECK(eventually([&] { return engine.requests().size() == 1; }));
    }
    std::this_thread::sleep_for(std::chrono::seconds(1));
    CHECK(engine.requests().size() == 1);
}

TEST_CASE_FIXTURE(GatewayFixture, "a token count that is no number, negative, infinite or absurd counts as not stated")
{
    ScriptedEngine engine([](const std::string &it) { return ScriptedResponse {responseTo(it, "ok")}; });
    addEngine("e1", engine.address());
    start();
    for (const auto *const it : {"nan,1", "inf", "-inf,1", "-1", "1e300", "1e308,1e308", "x", "1,,2"}) {
        CHECK(statusOf(exchange(request("/once/x", "Tokens: " + std::string(it) + "\r\n"))) == 200);
    }
    CHECK(m_metrics.text().find("monsoonward_gateway_token_count_malformed_total 8") != std::string::npos);
}
