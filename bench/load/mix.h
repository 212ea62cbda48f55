#pragma once

#include <monsoonward/ini/ini.h>

#include <cstdint>
#include <string>
#include <vector>

/// The load tool: sends a mix of requests through entries and checks that each answer is whole and the caller's own.
namespace load
{

/// @brief One kind of request in the mix: a section "[class NAME]".
struct RequestClass
{
    std::string name;
    std::string key; ///< the customer's key
    std::string model; ///< a model service; empty with a plain service
    std::string path; ///< for plain services, such as /services/orders/notes
    std::string tier; ///< empty: the customer's default
    unsigned threads = 1; ///< requests in progress at once
    unsigned requests = 1; ///< sent by each thread
    unsigned promptCharacters = 64;
    unsigned outputTokens = 16;
    monsoonward::Duration deadline {};
    bool idempotencyKeys = false; ///< sends a key of its own with each request
};

/// @brief The classes of a file, or every error of it.
struct Mix
{
    std::vector<RequestClass> classes;
    std::vector<monsoonward::IniError> errors;
};

Mix loadMix(const std::string &file);

} // namespace load
