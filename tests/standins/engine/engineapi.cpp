#include "engineapi.h"

#include <nlohmann/json.hpp>

#include <cstdlib>
#include <functional>
#include <thread>

namespace standin
{

namespace
{

using Json = nlohmann::json;

constexpr std::size_t charactersPerToken = 4;
constexpr unsigned defaultOutputTokens = 16;
constexpr auto stallTime = std::chrono::seconds(30);

/// @return the prompt of a completion or the joined messages of a chat
std::string promptOf(const Json &body)
{
    if (body.contains("prompt")) {
        return body.at("prompt").get<std::string>();
    }
    std::string prompt;
    for (const auto &it : body.at("messages")) {
        prompt += it.at("content").get<std::string>() + "\n";
    }
    return prompt;
}

/// @return piece @p n of the answer; piece 0 holds the prompt's hash, so that tests can match an answer to its request
std::string pieceText(std::uint64_t hash, unsigned n)
{
    return n == 0 ? "answer-to-" + std::to_string(hash) : " t" + std::to_string(n);
}

Json choice(const Completion &completion, const std::string &text, const Json &finish)
{
    Json it {{"index", 0}, {"finish_reason", finish}};
    if (!completion.chat) {
        it["text"] = text;
    } else {
        it[completion.streamed ? "delta" : "message"] = {{"role", "assistant"}, {"content", text}};
    }
    return it;
}

Json usageOf(const Completion &completion)
{
    return {{"prompt_tokens", completion.promptTokens},
            {"completion_tokens", completion.outputTokens},
            {"prompt_tokens_details", {{"cached_tokens", completion.cachedTokens}}}};
}

/// @throws std::exception when malformed
Completion parseCompletion(const std::string &text)
{
    const auto body = Json::parse(text);
    Completion completion;
    completion.prompt = promptOf(body);
    completion.promptHash = std::hash<std::string>()(completion.prompt);
    completion.promptTokens = completion.prompt.size() / charactersPerToken + 1;
    completion.outputTokens = body.value("max_tokens", defaultOutputTokens);
    completion.chat = body.contains("messages");
    completion.streamed = body.value("stream", false);
    return completion;
}

} // namespace

EngineApi::EngineApi(EngineModel &model, std::string name, bool checksFencing)
    : m_model(model)
    , m_name(std::move(name))
    , m_checksFencing(checksFencing)
{
}

void EngineApi::handle(const HttpRequest &request, HttpResponder &responder)
{
    const auto path = request.target.substr(0, request.target.find('?'));
    try {
        if (path == "/v1/chat/completions" || path == "/v1/completions") {
            complete(request, responder);
        } else if (path == "/v1/load_lora_adapter" || path == "/v1/unload_lora_adapter") {
            handleAdapter(request, responder);
        } else if (path == "/metrics") {
            responder.respond(200, "text/plain", metricsText());
        } else if (path == "/v1/models") {
            responder.respond(200, "application/json", Json {{"data", {{{"id", m_name}}}}}.dump());
        } else if (path == "/runs") {
            responder.respond(200, "application/json", runsText());
        } else if (path == "/fault") {
            setFault(request, responder);
        } else {
            responder.respond(404, "application/json", R"({"error":"not found"})");
        }
    } catch (const std::exception &error) {
        responder.respond(400, "application/json", Json {{"error", error.what()}}.dump());
    }
}

void EngineApi::complete(const HttpRequest &request, HttpResponder &responder)
{
    auto completion = parseCompletion(request.body);
    const auto run = m_model.addRun(
        {request.header("X-Request-Id"), request.header("Idempotency-Key"), completion.promptHash, false});
    completion.fault = takeFault();
    if (completion.fault == "crash") {
        std::_Exit(1);
    }
    completion.cachedTokens = m_model.prefill(completion.prompt, completion.promptTokens);
    if (completion.fault == "error") {
        m_model.leaveBatch(run, false);
        responder.respond(500, "application/json", R"({"error":"engine failure"})");
        return;
    }
    const bool completed =
        completion.streamed ? stream(completion, responder) : respondWithoutStreaming(completion, responder);
    m_model.leaveBatch(run, completed);
}

bool EngineApi::respondWithoutStreaming(const Completion &completion, HttpResponder &responder)
{
    constexpr unsigned stepsPerClientCheck = 16;
    std::string text;
    for (unsigned n = 0; n < completion.outputTokens; ++n) {
        m_model.decodeStep();
        text += pieceText(completion.promptHash, n);
        if (n % stepsPerClientCheck == 0 && responder.clientGone()) {
            responder.cut();
            return false;
        }
    }
    const Json answer {
        {"id", "x"}, {"choices", Json::array({choice(completion, text, "stop")})}, {"usage", usageOf(completion)}};
    responder.respond(200, "application/json", answer.dump());
    return true;
}

bool EngineApi::stream(const Completion &completion, HttpResponder &responder)
{
    responder.begin(200, "text/event-stream");
    for (unsigned n = 0; n < completion.outputTokens; ++n) {
        m_model.decodeStep();
        const bool faultyPiece = n == completion.outputTokens / 2;
        const Json event {{"id", "x"},
                          {"choices", Json::array({choice(completion, pieceText(completion.promptHash, n), nullptr)})}};
        if (faultyPiece && completion.fault == "stall") {
            std::this_thread::sleep_for(stallTime);
        }
        if (faultyPiece && completion.fault == "truncate") {
            responder.cut();
        }
        const bool malformed = faultyPiece && completion.fault == "malformed";
        if (!responder.chunk(malformed ? "data: {\"choices\": [\n\n" : "data: " + event.dump() + "\n\n")) {
            responder.cut();
            return false;
        }
    }
    const Json last {
        {"id", "x"}, {"choices", Json::array({choice(completion, "", "stop")})}, {"usage", usageOf(completion)}};
    responder.chunk("data: " + last.dump() + "\n\n");
    responder.chunk("data: [DONE]\n\n");
    responder.end();
    return true;
}

void EngineApi::handleAdapter(const HttpRequest &request, HttpResponder &responder)
{
    const auto text = request.header("X-Fencing-Token");
    const std::uint64_t fencing = text.empty() ? 0 : std::stoull(text);
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_checksFencing && fencing < m_highestFencing) {
        responder.respond(409, "application/json", R"({"error":"old fencing token"})");
        return;
    }
    m_highestFencing = std::max(m_highestFencing, fencing);
    m_adapterCalls.push_back(request.target + " " + text);
    responder.respond(200, "application/json", R"({"result":"ok"})");
}

void EngineApi::setFault(const HttpRequest &request, HttpResponder &responder)
{
    const auto body = Json::parse(request.body);
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_fault = {body.value("kind", std::string()), body.value("count", 1U)};
    }
    if (body.contains("slowdown")) {
        m_model.setSlowdown(body.at("slowdown").get<double>());
    }
    responder.respond(200, "application/json", "{}");
}

std::string EngineApi::takeFault()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_fault.count == 0) {
        return {};
    }
    --m_fault.count;
    return m_fault.kind;
}

std::string EngineApi::runsText() const
{
    Json list = Json::array();
    for (const auto &it : m_model.runs()) {
        list.push_back(
            {{"request", it.requestId}, {"key", it.idempotencyKey}, {"hash", it.bodyHash}, {"finished", it.finished}});
    }
    return list.dump();
}

std::string EngineApi::metricsText() const
{
    return "vllm:num_requests_running " + std::to_string(m_model.running()) + "\nvllm:num_requests_waiting "
        + std::to_string(m_model.waiting()) + "\n";
}

} // namespace standin
