#include "caller.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include <optional>
#include <random>

namespace load
{

namespace
{

namespace http = boost::beast::http;
using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using Tcp = boost::asio::ip::tcp;
using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

constexpr std::uint64_t maxAnswerBytes = std::uint64_t {64} * 1024 * 1024;

/// @brief A blocking HTTP/1.1 connection that is opened on demand, and again after an error.
class Connection
{
public:
    explicit Connection(const monsoonward::Address &address)
        : m_endpoint(boost::asio::ip::make_address(address.ip), address.port)
    {
    }

    /// Sends a request and waits for the answer.
    /// @return nothing if the connection failed
    std::optional<HttpResponse> exchange(const HttpRequest &request)
    {
        boost::system::error_code ec;
        if (!m_socket) {
            m_socket.emplace(m_context);
            m_socket->connect(m_endpoint, ec);
            m_socket->set_option(Tcp::no_delay(true), ec);
        }
        http::write(*m_socket, request, ec);
        http::response_parser<http::string_body> parser;
        parser.body_limit(maxAnswerBytes);
        http::read(*m_socket, m_buffer, parser, ec);
        if (ec || !parser.get().keep_alive()) {
            m_socket.reset();
            m_buffer.clear();
        }
        if (ec) {
            return std::nullopt;
        }
        return parser.release();
    }

private:
    boost::asio::io_context m_context;
    Tcp::endpoint m_endpoint;
    std::optional<Tcp::socket> m_socket;
    boost::beast::flat_buffer m_buffer;
};

/// @return a prompt that is unique in this run
std::string makePrompt(const RequestClass &requestClass, unsigned threadNumber, unsigned n)
{
    auto prompt = requestClass.name + " " + std::to_string(threadNumber) + " " + std::to_string(n) + " ";
    while (prompt.size() < requestClass.promptCharacters) {
        prompt += "lorem ";
    }
    return prompt;
}

/// @return an idempotency key that differs from those of all other requests, also of earlier runs
std::string makeIdempotencyKey(const std::string &prompt)
{
    static const auto run = std::random_device()();
    return "load-" + std::to_string(run) + "-" + std::to_string(std::hash<std::string>()(prompt));
}

HttpRequest makeRequest(const RequestClass &requestClass, const std::string &prompt)
{
    HttpRequest request(http::verb::post, requestClass.model.empty() ? requestClass.path : "/v1/completions", 11);
    request.set(http::field::host, "entry");
    request.set(http::field::authorization, "Bearer " + requestClass.key);
    if (!requestClass.tier.empty()) {
        request.set("Monsoonward-Tier", requestClass.tier);
    }
    if (requestClass.deadline > monsoonward::Duration {}) {
        const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(requestClass.deadline);
        request.set("Monsoonward-Deadline", std::to_string(ms.count()));
    }
    if (requestClass.idempotencyKeys) {
        request.set("Idempotency-Key", makeIdempotencyKey(prompt));
    }
    request.set(http::field::content_type, "application/json");
    const Json body {{"model", requestClass.model}, {"prompt", prompt}, {"max_tokens", requestClass.outputTokens}};
    request.body() = requestClass.model.empty() ? prompt : body.dump();
    request.prepare_payload();
    return request;
}

/// @return the text with which the stand-in engine answers @p prompt
std::string expectedText(const RequestClass &requestClass, const std::string &prompt)
{
    auto text = "answer-to-" + std::to_string(std::hash<std::string>()(prompt));
    for (unsigned n = 1; n < requestClass.outputTokens; ++n) {
        text += " t" + std::to_string(n);
    }
    return text;
}

bool isAnswerCorrect(const RequestClass &requestClass, const std::string &prompt, const std::string &body)
{
    const auto json = Json::parse(body, nullptr, false);
    if (json.is_discarded()) {
        return false;
    }
    if (requestClass.model.empty()) {
        return json.value("body", "") == prompt;
    }
    const auto choices = json.value("choices", Json::array());
    return choices.size() == 1 && choices[0].value("text", "") == expectedText(requestClass, prompt);
}

Sample makeSample(const RequestClass &requestClass, const std::string &prompt, const HttpResponse &response)
{
    Sample sample;
    sample.status = response.result_int();
    sample.verdict = std::string(response["Monsoonward-Verdict"]);
    sample.requestId = std::string(response["Monsoonward-Request-Id"]);
    if (sample.status == 200) {
        sample.answerCorrect = isAnswerCorrect(requestClass, prompt, response.body());
        return sample;
    }
    const auto json = Json::parse(response.body(), nullptr, false);
    sample.reason = json.is_object() ? json.value("reason", "") : "";
    return sample;
}

} // namespace

std::vector<Sample>
runCaller(const RequestClass &requestClass, const monsoonward::Address &entry, unsigned threadNumber)
{
    Connection connection(entry);
    std::vector<Sample> samples;
    for (unsigned n = 0; n < requestClass.requests; ++n) {
        const auto prompt = makePrompt(requestClass, threadNumber, n);
        const auto begin = Clock::now();
        const auto response = connection.exchange(makeRequest(requestClass, prompt));
        const auto latency = Clock::now() - begin;
        auto sample = response ? makeSample(requestClass, prompt, *response) : Sample {};
        sample.latency = latency;
        sample.inTime = requestClass.deadline == monsoonward::Duration {} || latency <= requestClass.deadline;
        samples.push_back(sample);
    }
    return samples;
}

} // namespace load
