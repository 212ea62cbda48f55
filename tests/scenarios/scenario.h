#pragma once

#include "fleet.h"

#include <functional>
#include <memory>
#include <string>

namespace monsoonward
{

/// @brief How one scenario went.
struct ScenarioReport
{
    bool passed = false;
    std::string error; ///< "file:line: what is wrong"; empty when passed
    std::vector<std::string> log; ///< each step with its virtual time
    unsigned expectations = 0; ///< checked
};

using FleetFactory = std::function<std::unique_ptr<Fleet>()>;

/// @brief Runs a scenario, a Lua script whose steps are functions; docs/SCENARIOS.md is the language.
/// The script reaches nothing but the fleet, and is bounded in steps and memory.
/// @param name file name for error messages
/// @param text the script
/// @param makeFleet called once, by the step `fleet`
ScenarioReport runScenario(const std::string &name, const std::string &text, const FleetFactory &makeFleet);

/// Reads and runs the file; an unreadable file is an error of the report.
ScenarioReport runScenarioFile(const std::string &path, const FleetFactory &makeFleet);

} // namespace monsoonward
