// The daemon: entry, target or gateway, as its settings say.
#include "gateway.h"

#include <monsoonward/daemon/daemon.h>

#include <boost/program_options.hpp>

#include <iostream>

namespace po = boost::program_options;
using namespace monsoonward;

namespace
{

int codeOf(ExitCode code)
{
    return static_cast<int>(code);
}

/// @return whether the file is right; prints every error
bool load(const std::string &file, Settings &settings)
{
    const auto result = loadSettings(file);
    for (const auto &it : result.errors) {
        std::cerr << textOf(it) << "\n";
    }
    settings = result.settings;
    return result.errors.empty();
}

void printHelp(const po::options_description &options)
{
    std::cout << "Usage: monsoonwardd --settings FILE\n\n"
              << options
              << "\nExit codes: 0 stopped in order; 1 a part failed; 2 wrong usage; 3 wrong settings;\n"
                 "4 stopped, but requests in progress were cut.\n"
                 "SIGTERM and SIGINT begin a graceful shutdown; a second one cuts what is left.\n";
}

} // namespace

int main(int argc, char **argv)
{
    po::options_description options("Options");
    auto add = options.add_options();
    add("settings", po::value<std::string>(), "run with the settings in this INI file");
    add("check-settings", po::value<std::string>(), "test this settings file without starting");
    add("settings-page", "print the page of all settings (Markdown)");
    add("help", "print this text");
    add("version", "print the version");
    po::variables_map map;
    try {
        po::store(po::parse_command_line(argc, argv, options), map);
        po::notify(map);
    } catch (const std::exception &error) {
        std::cerr << "monsoonwardd: " << error.what() << "\n";
        return codeOf(ExitCode::Usage);
    }
    if (map.count("help") != 0) {
        printHelp(options);
        return codeOf(ExitCode::Done);
    }
    if (map.count("version") != 0) {
        std::cout << "monsoonwardd " MONSOONWARD_VERSION "\n";
        return codeOf(ExitCode::Done);
    }
    if (map.count("settings-page") != 0) {
        std::cout << settingsPage();
        return codeOf(ExitCode::Done);
    }
    const bool checkOnly = map.count("check-settings") != 0;
    if (!checkOnly && map.count("settings") == 0) {
        std::cerr << "monsoonwardd: --settings FILE is needed\n";
        return codeOf(ExitCode::Usage);
    }
    const auto file = map[checkOnly ? "check-settings" : "settings"].as<std::string>();
    if (isGateway(file)) {
        return runAsGateway(file, checkOnly);
    }
    blockStopSignals();
    Settings settings;
    if (!load(file, settings)) {
        return codeOf(ExitCode::BadSettings);
    }
    return codeOf(checkOnly ? ExitCode::Done : runDaemon(settings));
}
