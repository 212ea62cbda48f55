#pragma once

#include "enginemodel.h"
#include "httpserver.h"

#include <mutex>
#include <string>

namespace standin
{

/// @brief A fault injected into the next answers.
struct EngineFault
{
    std::string kind; ///< truncate, malformed, stall, error or crash; empty: none
    unsigned count = 0; ///< number of answers that it still affects
};

/// @brief A parsed completion request and its progress.
struct Completion
{
    std::string prompt;
    std::uint64_t promptHash = 0;
    std::uint64_t promptTokens = 0;
    std::uint64_t cachedTokens = 0;
    unsigned outputTokens = 0;
    bool chat = false;
    bool streamed = false;
    std::string fault;
};

/// @brief The HTTP interface common to model servers, backed by an EngineModel.
///
///     POST /v1/chat/completions, /v1/completions   streamed when the body says "stream": true
///     GET  /v1/models, /metrics
///     POST /v1/load_lora_adapter, /v1/unload_lora_adapter   with a fencing token
///     GET  /runs, POST /fault                      for tests only
class EngineApi
{
public:
    /// @param checksFencing whether adapter calls with an old fencing token are refused
    EngineApi(EngineModel &model, std::string name, bool checksFencing);
    void handle(const HttpRequest &request, HttpResponder &responder);

private:
    void complete(const HttpRequest &request, HttpResponder &responder);
    /// @return whether the complete answer was sent
    bool respondWithoutStreaming(const Completion &completion, HttpResponder &responder);
    bool stream(const Completion &completion, HttpResponder &responder);
    void handleAdapter(const HttpRequest &request, HttpResponder &responder);
    void setFault(const HttpRequest &request, HttpResponder &responder);
    std::string takeFault();
    std::string runsText() const;
    std::string metricsText() const;

    EngineModel &m_model;
    std::string m_name;
    bool m_checksFencing;
    std::mutex m_mutex;
    EngineFault m_fault;
    std::uint64_t m_highestFencing = 0;
    std::vector<std::string> m_adapterCalls;
};

} // namespace standin
