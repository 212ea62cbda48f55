#pragma once

#include "mix.h"

#include <string>
#include <vector>

namespace load
{

/// @brief How one request ended, as its caller saw it.
struct Sample
{
    unsigned status = 0; ///< HTTP status; 0: the connection failed
    std::string requestId; ///< of the request ID header
    std::string verdict; ///< of the verdict header
    std::string reason; ///< of a refusal's body
    bool ownWholeAnswer = false; ///< status 200 and the whole answer to this very request
    bool inTime = false;
    monsoonward::Duration length {};
};

/// Sends the class's requests one after another over one connection and waits for each answer.
/// @param threadNumber makes the prompts of each thread different
std::vector<Sample>
runCaller(const RequestClass &requestClass, const monsoonward::Address &entry, unsigned threadNumber);

} // namespace load
