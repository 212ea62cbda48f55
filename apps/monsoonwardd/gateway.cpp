#include "gateway.h"

#include <platform/platform.h>

#include <cstdio>
#include <cstdlib>
#include <iostream>

using namespace monsoonward;

bool isGateway(const std::string &file)
{
    for (const auto &section : loadIni(file).sections) {
        for (const auto &it : section.entries) {
            if (section.name == "daemon" && it.key == "role") {
                return it.value == "gateway";
            }
        }
    }
    return false;
}

int runAsGateway(const std::string &file, bool checkOnly)
{
    if (!checkOnly) {
        const int exitCode = runGateway(file, *makePlatformAdapter());
        // Skips the static destructors: log4cplus waits there for its thread pool, which can hang until the process is
        // killed.
        std::fflush(nullptr);
        std::quick_exit(exitCode);
    }
    constexpr int exitBadSettings = 3;
    const auto outcome = loadGatewaySettings(file);
    for (const auto &it : outcome.errors) {
        std::cerr << textOf(it) << "\n";
    }
    return outcome.errors.empty() ? 0 : exitBadSettings;
}
