// monsoonctl, the operators' command line tool.
#include "commands.h"
#include "explain.h"

#include <monsoonward/ini/ini.h>

#include <boost/algorithm/string/trim.hpp>
#include <boost/program_options.hpp>

#include <cstdlib>
#include <fstream>
#include <functional>
#include <iostream>
#include <sstream>

namespace po = boost::program_options;

using monsoonctl::ExitCode;

namespace
{

std::string environmentVariable(const char *name)
{
    const char *value = std::getenv(name); // NOLINT(concurrency-mt-unsafe)
    return value == nullptr ? "" : value;
}

/// Reads the token from a file or the environment, never from the command line, which other users of the host
/// can see.
std::string readToken(const std::string &file)
{
    if (file.empty()) {
        return environmentVariable("MONSOONWARD_TOKEN");
    }
    std::ifstream in(file);
    std::string token;
    std::getline(in, token);
    if (!in) {
        throw std::runtime_error("cannot read a token from \"" + file + "\"");
    }
    boost::algorithm::trim(token);
    return token;
}

struct CommandLine
{
    po::options_description visible {"Options"};
    po::options_description all;
    po::positional_options_description positional;
    po::variables_map values;

    CommandLine()
    {
        auto add = visible.add_options();
        add("help,h", "print help; after a verb, its usage and an example");
        add("address,a", po::value<std::string>(), "a daemon's admin address IP:PORT (default: $MONSOONWARD_ADDRESS)");
        add("token-file",
            po::value<std::string>()->default_value(""),
            "file with the token (default: $MONSOONWARD_TOKEN)");
        add("format", po::value<std::string>()->default_value("table"), "table or json");
        add("yes,y", po::bool_switch(), "confirm the plan immediately");
        add("wait,w", po::bool_switch(), "after a confirmation, wait until the plan is done");
        add("wait-timeout", po::value<unsigned>()->default_value(600), "longest wait, in seconds");
        add("override",
            po::value<std::vector<std::string>>()->composing(),
            "name of a promise that the plan may break");
        add("after", po::value<std::string>()->default_value(""), "log: only entries after this revision");
        all.add(visible);
        all.add_options()("words", po::value<std::vector<std::string>>());
        positional.add("words", -1);
    }
};

/// Calls @p read with each of the logs @p files, or with @p standardInput when there are none.
void readLogs(const std::vector<std::string> &files,
              const std::string &standardInput,
              const std::function<void(std::istream &)> &read)
{
    if (files.empty()) {
        std::istringstream in(standardInput);
        read(in);
    }
    for (const auto &it : files) {
        std::ifstream in(it);
        if (!in) {
            throw std::runtime_error("cannot read the log \"" + it + "\"");
        }
        read(in);
    }
}

/// Reads the logs @p files, or standard input when there are none, and prints the records that explain the outcome of
/// the request and of the others of its stream.
ExitCode explain(const std::string &request, const std::vector<std::string> &files)
{
    std::ostringstream standardInput;
    if (files.empty()) {
        standardInput << std::cin.rdbuf();
    }
    monsoonctl::StreamChain chain;
    readLogs(files, standardInput.str(), [&](std::istream &in) { chain.read(in); });
    monsoonctl::Explanation explanation(chain.requestsWith(request));
    readLogs(files, standardInput.str(), [&](std::istream &in) { explanation.read(in); });
    if (explanation.malformedLines() != 0) {
        std::cerr << "monsoonctl: " << explanation.malformedLines() << " lines skipped that are not log records\n";
    }
    const auto text = explanation.text();
    if (text.empty()) {
        std::cerr << "monsoonctl: request \"" << request << "\" is not in these logs\n";
        return ExitCode::NotAccepted;
    }
    std::cout << text;
    return ExitCode::Done;
}

ExitCode execute(const CommandLine &line)
{
    const auto &values = line.values;
    std::vector<std::string> words;
    if (values.count("words") != 0) {
        words = values["words"].as<std::vector<std::string>>();
    }
    const auto *verb = words.empty() ? nullptr : monsoonctl::findVerb(words[0]);
    if (values.count("help") != 0) {
        std::cout << (verb == nullptr ? monsoonctl::overview() : monsoonctl::helpOf(*verb)) << "\n" << line.visible;
        return ExitCode::Done;
    }
    if (verb == nullptr) {
        std::cerr << (words.empty() ? "" : "monsoonctl: unknown verb \"" + words[0] + "\"\n") << monsoonctl::overview();
        return ExitCode::Usage;
    }
    const std::vector<std::string> arguments(words.begin() + 1, words.end());
    if (verb->kind == monsoonctl::VerbKind::Explain && !arguments.empty()) {
        return explain(arguments.front(), {arguments.begin() + 1, arguments.end()});
    }
    if (arguments.size() != verb->arguments.size()) {
        std::cerr << monsoonctl::helpOf(*verb);
        return ExitCode::Usage;
    }
    monsoonctl::Options options;
    const auto format = values["format"].as<std::string>();
    if (format != "table" && format != "json") {
        throw std::runtime_error("format \"" + format + "\" is not one of: table, json");
    }
    options.json = format == "json";
    options.yes = values["yes"].as<bool>();
    options.wait = values["wait"].as<bool>();
    options.waitTimeout = std::chrono::seconds(values["wait-timeout"].as<unsigned>());
    options.after = values["after"].as<std::string>();
    if (values.count("override") != 0) {
        options.overrides = values["override"].as<std::vector<std::string>>();
    }
    if (verb->kind != monsoonctl::VerbKind::Dump) {
        const auto text = values.count("address") != 0 ? values["address"].as<std::string>()
                                                       : environmentVariable("MONSOONWARD_ADDRESS");
        const auto address = monsoonward::parseAddress(text);
        if (!address) {
            throw std::runtime_error("--address: " + address.error().message);
        }
        options.address = address.value();
    }
    options.token = readToken(values["token-file"].as<std::string>());
    return monsoonctl::run(*verb, arguments, options);
}

} // namespace

int main(int argc, char **argv)
{
    try {
        CommandLine line;
        po::store(po::command_line_parser(argc, argv).options(line.all).positional(line.positional).run(), line.values);
        po::notify(line.values);
        return static_cast<int>(execute(line));
    } catch (const std::exception &error) {
        std::cerr << "monsoonctl: " << error.what() << "\n";
        return static_cast<int>(ExitCode::Usage);
    }
}
