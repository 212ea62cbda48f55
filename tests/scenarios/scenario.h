#pragma once

#include "fleet.h"

#include <functional>
#include <memory>
#include <string>

namespace monsoonward
{

/// @brief Result of one scenario.
struct ScenarioReport
{
    bool passed = false;
    std::string error; ///< "file:line: message"; empty when passed
    std::vector<std::string> log; ///< the steps and expectations in order, each with its virtual time
    unsigned expectations = 0; ///< number of expectations that were checked
};

using FleetFactory = std::function<std::unique_ptr<Fleet>()>;

/// @brief Runs a scenario: a Lua script whose steps are function calls. docs/SCENARIOS.md describes the language.
/// The script can reach nothing but the fleet; its instructions and memory are limited.
/// @param name file name for error messages
/// @param text the script
/// @param makeFleet called once, by the step `fleet`
ScenarioReport runScenario(const std::string &name, const std::string &text, const FleetFactory &makeFleet);

/// Reads and runs a scenario file; an unreadable file is reported as the error of the report.
ScenarioReport runScenarioFile(const std::string &path, const FleetFactory &makeFleet);

} // namespace monsoonward
