#pragma once

#include <monsoonward/values/values.h>

#include <string>
#include <vector>

namespace monsoonward
{

/// @brief Names of the HTTP headers and paths that callers, engines and health checks use in one fleet.
struct HttpDialect
{
    std::string requestId; ///< identifies one call of a caller; engines echo it in their responses
    std::string timeLeft; ///< milliseconds until the caller times out
    std::string apiKey; ///< API key of the caller's customer; never forwarded to engines
    std::string customer; ///< customer name, set for the engine
    std::string expectedEngine; ///< engine name; any other engine rejects the request
    std::string notExecuted; ///< response header: the engine did not run the request
    std::string engineMarker; ///< response header: present in every successful response of an engine
    std::string engineLeaving; ///< response header: "1" if the engine is leaving and wants no new requests
    std::string engineRateLimit; ///< response header: requests per second that the engine takes from all gateways
    std::string tokenCounts; ///< "prompt tokens,maximum output tokens" of a model request
    /// Parts of a model request's prompt in order, as "ID:tokens,ID:tokens"; the last one belongs to the request alone.
    std::string promptParts;
    std::string model; ///< name of the model that a request is for
    std::string lastEventId; ///< ID of the last event received, to resume a stream after it
    std::string resumes; ///< ID of the request that brought the first event of the stream that this one resumes
    std::vector<std::string> reservedHeaders; ///< removed from callers' requests
    std::string readyPath; ///< path of the readiness check
    MONSOONWARD_FIELDS(requestId,
                       timeLeft,
                       apiKey,
                       customer,
                       expectedEngine,
                       notExecuted,
                       engineMarker,
                       engineLeaving,
                       engineRateLimit,
                       tokenCounts,
                       promptParts,
                       model,
                       lastEventId,
                       resumes,
                       reservedHeaders,
                       readyPath)
};

} // namespace monsoonward
