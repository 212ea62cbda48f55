#pragma once

#include "client.h"
#include "verbs.h"

#include <chrono>

namespace monsoonctl
{

/// @brief Options of the command line.
struct Options
{
    monsoonward::Address address;
    std::string token;
    bool json = false; ///< print responses as JSON instead of tables
    bool yes = false; ///< confirm a new plan immediately
    bool wait = false; ///< after a confirmation, wait until the plan is done
    std::chrono::seconds waitTimeout {600};
    std::vector<std::string> overrides; ///< promises that a plan may break
    std::string after; ///< for `log`: show only entries after this revision
};

/// Executes one verb. Prints results to standard output, errors and progress to standard error.
ExitCode run(const Verb &verb, const std::vector<std::string> &arguments, const Options &options);

} // namespace monsoonctl
