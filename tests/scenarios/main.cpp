// Runs scenario files on the simulated fleet and prints the log of each. Usage: scenario FILE...
#include "scenario.h"

#include <simulation.h>

#include <iostream>

using namespace monsoonward;

int main(int argc, char **argv)
{
    if (argc < 2) {
        std::cerr << "usage: scenario FILE...\n";
        return 2;
    }
    int failed = 0;
    for (int n = 1; n < argc; ++n) {
        const auto report = runScenarioFile(argv[n], [] { return std::make_unique<Simulation>(); });
        std::cout << "== " << argv[n] << "\n";
        for (const auto &it : report.log) {
            std::cout << it << "\n";
        }
        std::cout << (report.passed ? "passed" : "FAILED: " + report.error) << "\n";
        failed += report.passed ? 0 : 1;
    }
    return failed == 0 ? 0 : 1;
}
