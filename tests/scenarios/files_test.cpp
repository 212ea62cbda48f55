#include "scenario.h"

#include <simulation.h>

#include <doctest/doctest.h>

using namespace monsoonward;

namespace
{

void runFile(const char *path)
{
    const auto report = runScenarioFile(path, [] { return std::make_unique<Simulation>(); });
    for (const auto &it : report.log) {
        INFO(it);
    }
    CHECK_MESSAGE(report.passed, report.error);
}

} // namespace

// The build generates scenariofiles.inc with one SCENARIO_FILE line for each scenario file.
#define SCENARIO_FILE(name) \
    TEST_CASE("scenario " name) \
    { \
        runFile(SCENARIO_DIRECTORY "/" name); \
    }
#include "scenariofiles.inc"
