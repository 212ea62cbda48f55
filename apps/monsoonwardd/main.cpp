// Entry point of the daemon. The settings file selects its role: entry, target or gateway.
#include "gateway.h"

#include <monsoonward/daemon/daemon.h>

#include <boost/program_options.hpp>

#include <iostream>

namespace po = boost::program_options;
using namespace monsoonward;

namespace
{

int exitStatus(ExitCode code)
{
    return static_cast<int>(code);
}

/// Loads @p file into @p settings and prints every error. @return whether there was none
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
              << "\nExit codes: 0 stopped gracefully; 1 a part failed; 2 wrong usage; 3 wrong settings;\n"
                 "4 stopped, but requests in progress were aborted.\n"
                 "SIGTERM and SIGINT begin a graceful shutdown; a second one aborts the requests in progress.\n";
}

} // namespace

int main(int argc, char **argv)
{
    po::options_description options("Options");
    auto add = options.add_options();
    add("settings", po::value<std::string>(), "run with the settings in this INI file");
    add("check-settings", po::value<std::string>(), "check this settings file without starting");
    add("settings-page", "print a reference of all settings in Markdown");
    add("help", "print this text");
    add("version", "print the version");
    po::variables_map map;
    try {
        po::store(po::parse_command_line(argc, argv, options), map);
        po::notify(map);
    } catch (const std::exception &error) {
        std::cerr << "monsoonwardd: " << error.what() << "\n";
        return exitStatus(ExitCode::Usage);
    }
    if (map.count("help") != 0) {
        printHelp(options);
        return exitStatus(ExitCode::Done);
    }
    if (map.count("version") != 0) {
        std::cout << "monsoonwardd " MONSOONWARD_VERSION "\n";
        return exitStatus(ExitCode::Done);
    }
    if (map.count("settings-page") != 0) {
        std::cout << settingsPage();
        return exitStatus(ExitCode::Done);
    }
    const bool checkOnly = map.count("check-settings") != 0;
    if (!checkOnly && map.count("settings") == 0) {
        std::cerr << "monsoonwardd: --settings FILE is required\n";
        return exitStatus(ExitCode::Usage);
    }
    const auto file = map[checkOnly ? "check-settings" : "settings"].as<std::string>();
    if (isGateway(file)) {
        return runAsGateway(file, checkOnly);
    }
    blockStopSignals();
    Settings settings;
    if (!load(file, settings)) {
        return exitStatus(ExitCode::BadSettings);
    }
    return exitStatus(checkOnly ? ExitCode::Done : runDaemon(settings));
}
