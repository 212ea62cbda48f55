#include "httpenginerun.h"

#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <limits>

namespace monsoonward
{

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr auto ioTimeout = std::chrono::minutes(5); // for each connect, write and read
constexpr std::size_t readBytes = std::size_t {32} * 1024;
constexpr std::uint32_t maxHeaderBytes = 64 * 1024;
constexpr unsigned httpVersion = 11;

http::request<http::string_body> toMessage(const HttpRequest &request, const Address &engine)
{
    http::request<http::string_body> message;
    message.version(httpVersion);
    message.method_string(request.method);
    message.target(request.path);
    message.set(http::field::host, engine.ip + ":" + std::to_string(engine.port));
    for (const auto &[name, value] : request.headers) {
        message.insert(name, value);
    }
    message.set(http::field::connection, "close");
    message.body() = request.body;
    message.prepare_payload();
    return message;
}

HeaderList toHeaders(const http::fields &fields)
{
    HeaderList headers;
    for (const auto &it : fields) {
        headers.emplace_back(std::string(it.name_string()), std::string(it.value()));
    }
    return headers;
}

} // namespace

HttpEngineRun::HttpEngineRun(const Address &engine, HttpRequest request)
    : m_engine(engine)
    , m_request(std::move(request))
    , m_socket(m_context)
{
}

EngineRunEnd HttpEngineRun::run(EngineRunHandler &handler)
{
    auto end = exchange(handler);
    boost::system::error_code ignored;
    m_socket.close(ignored);
    if (end.verdict != Verdict::Completed && m_cancelled) {
        end.detail = "cancelled";
    }
    return end;
}

void HttpEngineRun::cancel()
{
    m_cancelled = true;
    asio::post(m_context, [this] {
        boost::system::error_code ignored;
        m_socket.close(ignored);
    });
}

HttpEngineRun::IoError HttpEngineRun::runOperation(const std::function<void(IoCallback)> &start)
{
    std::optional<IoError> result;
    start([&result](const IoError &ec) { result = ec; });
    const auto deadline = std::chrono::steady_clock::now() + ioTimeout;
    m_context.restart();
    while (!result) {
        if (m_context.run_one_until(deadline) == 0 && !result) {
            boost::system::error_code ignored;
            m_socket.close(ignored);
            m_context.restart();
        }
    }
    return m_cancelled ? IoError(asio::error::operation_aborted) : *result;
}

EngineRunEnd HttpEngineRun::exchange(EngineRunHandler &handler)
{
    IoError ec;
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(m_engine.ip, ec), m_engine.port);
    if (!ec) {
        ec = runOperation([&](IoCallback done) { m_socket.async_connect(endpoint, std::move(done)); });
    }
    if (ec) {
        return {Verdict::NotRun, "connecting: " + ec.message()};
    }
    m_socket.set_option(asio::ip::tcp::no_delay(true), ec);
    const auto message = toMessage(m_request, m_engine);
    ec = runOperation([&](IoCallback done) {
        http::async_write(m_socket, message, [done = std::move(done)](const IoError &it, std::size_t) { done(it); });
    });
    if (ec) {
        return interruptedRun("sending", ec);
    }
    boost::beast::flat_buffer buffer;
    http::response_parser<http::buffer_body> parser;
    parser.header_limit(maxHeaderBytes);
    parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    parser.skip(m_request.method == "HEAD");
    ec = runOperation([&](IoCallback done) {
        http::async_read_header(
            m_socket, buffer, parser, [done = std::move(done)](const IoError &it, std::size_t) { done(it); });
    });
    if (ec) {
        return interruptedRun("reading the answer's head", ec);
    }
    if (!handler.answerBegin(parser.get().result_int(), toHeaders(parser.get()))) {
        return {Verdict::MayHaveRun, "the answer was refused"};
    }
    std::array<char, readBytes> buf {};
    while (!parser.is_done()) {
        parser.get().body().data = buf.data();
        parser.get().body().size = buf.size();
        ec = runOperation([&](IoCallback done) {
            http::async_read_some(
                m_socket, buffer, parser, [done = std::move(done)](const IoError &it, std::size_t) { done(it); });
        });
        if (ec && ec != http::error::need_buffer) {
            return interruptedRun("reading the answer", ec);
        }
        const auto n = buf.size() - parser.get().body().size;
        if (n > 0 && !handler.answerBytes({buf.data(), n})) {
            return {Verdict::MayHaveRun, "the answer was refused"};
        }
    }
    return {Verdict::Completed, {}};
}

EngineRunEnd HttpEngineRun::interruptedRun(const std::string &step, const IoError &ec) const
{
    return {Verdict::MayHaveRun, step + ": " + ec.message()};
}

} // namespace monsoonward
