#pragma once

#include "mix.h"

#include <string>
#include <vector>

namespace load
{

/// @brief The outcome of one request as its caller saw it.
struct Sample
{
    unsigned status = 0; ///< HTTP status; 0: the connection failed
    std::string requestId; ///< from the request ID header of the answer
    std::string verdict; ///< from the verdict header of the answer
    std::string reason; ///< why the request was refused, from the body of the answer
    bool answerCorrect = false; ///< status 200 with the complete answer to this request
    bool inTime = false; ///< ended within its deadline, or had none
    monsoonward::Duration latency {};
};

/// Sends the requests of a class one after another over one connection, each after the answer to the one before.
/// @param threadNumber unique in the run; becomes part of the prompts, so that no two threads send the same prompt
std::vector<Sample>
runCaller(const RequestClass &requestClass, const monsoonward::Address &entry, unsigned threadNumber);

} // namespace load
