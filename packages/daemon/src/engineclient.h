#pragma once

#include "callerrequest.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace monsoonward
{

/// @brief Receives an engine's answer on the thread of EngineRun::run().
class EngineRunHandler
{
public:
    virtual ~EngineRunHandler() = default;
    /// @return false to stop the run
    virtual bool answerBegin(unsigned status, const HeaderList &headers) = 0;
    /// @return false to stop the run
    virtual bool answerBytes(std::string_view bytes) = 0;
};

/// @brief How a run ended, as far as HTTP tells.
struct EngineRunEnd
{
    Verdict verdict = Verdict::MayHaveRun; ///< Completed: the HTTP message is whole. NotRun: never reached the engine.
    std::string detail; ///< why it isn't whole
    MONSOONWARD_FIELDS(verdict, detail)
};

/// @brief One call of an engine; used once.
class EngineRun
{
public:
    virtual ~EngineRun() = default;
    /// Sends the request, once, and passes the answer on; returns at its end.
    virtual EngineRunEnd run(EngineRunHandler &handler) = 0;
    /// Ends run() early. Any thread.
    virtual void cancel() = 0;
};

/// @brief What an engine says of itself.
struct EngineLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    MONSOONWARD_FIELDS(running, waiting)
};

/// @brief Calls engines and plain services.
class EngineClient
{
public:
    virtual ~EngineClient() = default;
    virtual std::unique_ptr<EngineRun> call(const Address &engine, const HttpRequest &request) = 0;
    /// Asks a model engine for its load; waits for the answer. Unavailable when it doesn't answer in time.
    virtual Result<EngineLoad> load(const Address &engine) = 0;
    /// @return whether a connection can be made; for plain services
    virtual bool reachable(const Address &engine) = 0;
};

/// @brief Calls engines by the HTTP client of cxxtools.
std::unique_ptr<EngineClient> makeHttpEngineClient();

/// @return the load in an engine's metrics (Prometheus text), or NotFound when they don't tell it
Result<EngineLoad> parseEngineLoad(std::string_view metrics);

} // namespace monsoonward
