// Sends a mix of requests to entries, or directly to an engine, and reports the outcomes of each class.
#include "report.h"

#include <boost/program_options.hpp>

#include <fstream>
#include <future>
#include <iostream>

namespace po = boost::program_options;

namespace
{

constexpr int exitWrongAnswer = 1;
constexpr int exitUsage = 2;

struct Options
{
    std::string mix;
    std::string record; ///< path of the record file; empty: none is written
    std::vector<monsoonward::Address> entries;
};

/// @throws std::exception if an option is missing or invalid
Options parseOptions(const po::variables_map &map)
{
    Options options;
    options.mix = map["mix"].as<std::string>();
    options.record = map["record"].as<std::string>();
    for (const auto &it : monsoonward::splitList(map["entries"].as<std::string>())) {
        options.entries.push_back(monsoonward::parseAddress(it).value());
    }
    if (options.entries.empty()) {
        throw std::invalid_argument("--entries needs at least one address");
    }
    return options;
}

std::vector<load::ClassReport> run(const load::Mix &mix, const std::vector<monsoonward::Address> &entries)
{
    std::vector<load::ClassReport> reports;
    std::vector<std::vector<std::future<std::vector<load::Sample>>>> callers;
    unsigned threadNumber = 0;
    for (const auto &it : mix.classes) {
        auto &threads = callers.emplace_back();
        for (unsigned n = 0; n < it.threads; ++n, ++threadNumber) {
            const auto &entry = entries[threadNumber % entries.size()];
            threads.push_back(std::async(std::launch::async, load::runCaller, it, entry, threadNumber));
        }
    }
    for (std::size_t n = 0; n < callers.size(); ++n) {
        auto &report = reports.emplace_back(load::ClassReport {mix.classes[n].name, mix.classes[n].tier, {}});
        for (auto &it : callers[n]) {
            const auto samples = it.get();
            report.samples.insert(report.samples.end(), samples.begin(), samples.end());
        }
    }
    return reports;
}

} // namespace

int main(int argc, char **argv)
{
    po::options_description description("monsoonward_load");
    auto add = description.add_options();
    add("help", "print this text");
    add("mix", po::value<std::string>()->required(), "INI file with [class NAME] sections");
    add("record", po::value<std::string>()->default_value(""), "file for a line a request: ID, status, verdict");
    add("entries", po::value<std::string>()->required(), "addresses, separated by commas");
    Options options;
    try {
        po::variables_map map;
        po::store(po::parse_command_line(argc, argv, description), map);
        if (map.count("help") != 0) {
            std::cout << description;
            return 0;
        }
        po::notify(map);
        options = parseOptions(map);
    } catch (const std::exception &error) {
        std::cerr << error.what() << "\n" << description;
        return exitUsage;
    }
    const auto mix = load::loadMix(options.mix);
    for (const auto &it : mix.errors) {
        std::cerr << textOf(it) << "\n";
    }
    if (!mix.errors.empty()) {
        return exitUsage;
    }
    const auto begin = std::chrono::steady_clock::now();
    const auto reports = run(mix, options.entries);
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - begin;
    load::printReport(std::cout, reports, elapsed.count());
    if (!options.record.empty()) {
        std::ofstream record(options.record);
        load::writeRecord(record, reports);
    }
    if (!load::allAnswersCorrect(reports)) {
        std::cerr << "an answer was incomplete or belonged to another request\n";
        return exitWrongAnswer;
    }
    return 0;
}
