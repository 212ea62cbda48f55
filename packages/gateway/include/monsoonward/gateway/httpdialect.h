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
    std::string customerKey; ///< from the caller; never goes on
    std::string customer; ///< name of the customer, for the engine
    std::string expectedEngine; ///< an engine of another name refuses the request
    std::string notRun; ///< in an answer: the engine did not run the request
    std::string seal; ///< in an answer: it comes from an engine
    std::string tokenCounts; ///< "prompt,most output" of a model request
    std::string lastEvent; ///< ID of the last event that the caller has
    std::vector<std::string> reserved; ///< headers that callers may not set; dropped
    std::string readyPath; ///< of health checks
    MONSOONWARD_FIELDS(requestId,
                       timeLeft,
                       customerKey,
                       customer,
                       expectedEngine,
                       notRun,
                       seal,
                       tokenCounts,
                       lastEvent,
                       reserved,
                       readyPath)
};

} // namespace monsoonward
