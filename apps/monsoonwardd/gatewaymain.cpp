// Entry point of a build that contains only the gateway role (MONSOONWARD_GATEWAY_ONLY).
#include "gateway.h"

#include <cstdlib>
#include <iostream>
#include <string_view>

int main(int argc, char **argv)
{
    constexpr int exitUsage = 2;
    const bool isCheck = argc == 3 && std::string_view(argv[1]) == "--check-settings";
    const bool isRun = argc == 3 && std::string_view(argv[1]) == "--settings";
    const char *fromEnvironment = std::getenv("MONSOONWARD_CONFIG");
    if (!isCheck && !isRun && (argc != 1 || fromEnvironment == nullptr)) {
        std::cerr << "Usage: monsoonwardd [--settings FILE | --check-settings FILE]\n"
                     "Without a file, the variable MONSOONWARD_CONFIG names it.\n";
        return exitUsage;
    }
    return runAsGateway(argc == 3 ? argv[2] : fromEnvironment, isCheck);
}
