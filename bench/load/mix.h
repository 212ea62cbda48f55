#pragma once

#include <monsoonward/ini/ini.h>

#include <cstdint>
#include <string>
#include <vector>

/// Load generator: sends a mix of requests through entries and checks that each answer is complete and belongs to its
/// request.
namespace load
{

/// @brief A class of requests with the same properties, read from a section "[class NAME]".
struct RequestClass
{
    std::string name;
    std::string key; ///< API key of the customer
    std::string model; ///< name of a model service; empty: a plain service, see path
    std::string path; ///< URL path of a plain service, such as /services/orders/notes
    std::string tier; ///< empty: the customer's default tier
    unsigned threads = 1; ///< callers that send requests in parallel
    unsigned requests = 1; ///< sent by each thread
    unsigned promptCharacters = 64;
    unsigned outputTokens = 16;
    monsoonward::Duration deadline {}; ///< 0: none
    bool idempotencyKeys = false; ///< sends a unique idempotency key with each request
};

/// @brief The classes of a mix file and all errors found in it; without errors the mix is usable.
struct Mix
{
    std::vector<RequestClass> classes;
    std::vector<monsoonward::IniError> errors;
};

/// Reads a mix file; a line with an error doesn't stop the reading.
Mix loadMix(const std::string &file);

} // namespace load
