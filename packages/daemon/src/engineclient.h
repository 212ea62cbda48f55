#pragma once

#include "callerrequest.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace monsoonward
{

/// @brief Receives an engine's answer. Called on the thread of EngineRun::run().
class EngineRunHandler
{
public:
    virtual ~EngineRunHandler() = default;
    /// @return false to stop the run
    virtual bool answerBegin(unsigned status, const HeaderList &headers) = 0;
    /// @return false to stop the run
    virtual bool answerBytes(std::string_view bytes) = 0;
};

/// @brief The outcome of a run at the HTTP level.
struct EngineRunEnd
{
    Verdict verdict =
        Verdict::MayHaveRun; ///< Completed: the HTTP message is complete. NotRun: the engine was not reached.
    std::string detail; ///< why the run did not complete
    MONSOONWARD_FIELDS(verdict, detail)
};

/// @brief A single request to an engine. run() may be called only once.
class EngineRun
{
public:
    virtual ~EngineRun() = default;
    /// Sends the request once and passes the answer to @p handler; returns when the answer has ended.
    virtual EngineRunEnd run(EngineRunHandler &handler) = 0;
    /// Makes run() return early. Thread-safe.
    virtual void cancel() = 0;
};

/// @brief The number of requests that an engine reports as running and waiting.
struct EngineLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    MONSOONWARD_FIELDS(running, waiting)
};

/// @brief HTTP client for engines and plain services.
class EngineClient
{
public:
    virtual ~EngineClient() = default;
    virtual std::unique_ptr<EngineRun> makeRun(const Address &engine, const HttpRequest &request) = 0;
    /// Reads a model engine's load from its metrics, blocking.
    /// @return the load; Unavailable without a valid response in time, NotFound if the metrics lack the load
    virtual Result<EngineLoad> queryLoad(const Address &engine) = 0;
    /// @return whether a TCP connection can be opened; used for plain services
    virtual bool isReachable(const Address &engine) = 0;
};

/// @return a client that runs requests with HttpEngineRun and queries the load with cxxtools
std::unique_ptr<EngineClient> makeHttpEngineClient();

/// @return the load from an engine's metrics in Prometheus text format, or NotFound if they lack it
Result<EngineLoad> parseEngineLoad(std::string_view metrics);

} // namespace monsoonward
