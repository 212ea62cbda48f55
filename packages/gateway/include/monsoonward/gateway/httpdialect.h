#pragma once

#include <monsoonward/values/values.h>

#include <string>
#include <vector>

namespace monsoonward
{

/// @brief Names of the headers and paths that callers, engines and health checks use.
struct HttpDialect
{
    std::string requestId; ///< of one attempt of a caller; engines repeat it in their answers
    std::string timeLeft; ///< milliseconds until the caller gives up
    std::string apiKey; ///< from the caller; never goes on
    std::string customer; ///< name of the customer, for the engine
    std::string expectedEngine; ///< an engine of another name refuses the request
    std::string notExecuted; ///< in an answer: the engine did not run the request
    std::string engineMarker; ///< in an answer: it comes from an engine
    std::string tokenCounts; ///< "prompt,most output" of a model request
    std::string lastEventId; ///< ID of the last event that the caller has
    std::vector<std::string> reservedHeaders; ///< headers that callers may not set; dropped
    std::string readyPath; ///< of health checks
    MONSOONWARD_FIELDS(requestId,
                       timeLeft,
                       apiKey,
                       customer,
                       expectedEngine,
                       notExecuted,
                       engineMarker,
                       tokenCounts,
                       lastEventId,
                       reservedHeaders,
                       readyPath)
};

} // namespace monsoonward
