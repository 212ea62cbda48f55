#pragma once

#include "client.h"
#include "verbs.h"

#include <chrono>

namespace monsoonctl
{

/// @brief What the command line says besides the verb.
struct Options
{
    monsoonward::Address address;
    std::string token;
    bool json = false; ///< print answers as they come
    bool yes = false; ///< confirm the plan at once
    bool wait = false; ///< wait until a confirmed plan is done
    std::chrono::seconds waitTimeout {600};
    std::vector<std::string> overrides;
    std::string after; ///< log: revision
};

/// Runs one verb; results go to standard output, errors and progress to standard error.
ExitCode run(const Verb &verb, const std::vector<std::string> &arguments, const Options &options);

} // namespace monsoonctl
