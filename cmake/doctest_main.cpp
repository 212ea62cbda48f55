// Runs the doctest cases of one package. Cases listed in KNOWN-RED.txt are printed and skipped, unless the environment
// variable MONSOONWARD_RUN_KNOWN_RED is set.
#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <fstream>
#include <iostream>
#include <string>

#ifndef MONSOONWARD_SOURCE_DIR
#error "link the library monsoonward_doctest; don't compile this file into a test"
#endif

namespace
{

constexpr const char *entryPrefix = "test: ";

/// Excludes each test case named by a line "test: NAME" of KNOWN-RED.txt. A missing file excludes none.
void excludeKnownFailures(doctest::Context &context)
{
    std::ifstream in(MONSOONWARD_SOURCE_DIR "/KNOWN-RED.txt");
    std::string line;
    while (std::getline(in, line)) {
        if (line.rfind(entryPrefix, 0) != 0) {
            continue;
        }
        const auto name = line.substr(std::string(entryPrefix).size());
        std::cout << "known red, not run: " << name << "\n";
        context.addFilter("test-case-exclude", name.c_str());
    }
}

} // namespace

int main(int argc, char **argv)
{
    doctest::Context context;
    if (std::getenv("MONSOONWARD_RUN_KNOWN_RED") == nullptr) {
        excludeKnownFailures(context);
    }
    context.applyCommandLine(argc, argv);
    return context.run();
}
