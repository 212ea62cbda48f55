#include "runs.h"

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <iostream>

/// Compares the daemon's decision code with baseline policies in a simulation with fake engines and a virtual clock.
/// See docs/POLICY.md.
namespace monsoonward::bench
{

namespace
{

struct Options
{
    std::string workload;
    std::string policy = "all";
    std::string format = "text";
    std::uint64_t seed = 1;
};

nlohmann::ordered_json toJson(const Report &report)
{
    nlohmann::ordered_json json;
    json["policy"] = report.policy;
    json["seed"] = report.seed;
    json["tiers"] = nlohmann::ordered_json::array();
    for (const auto &it : report.tiers) {
        json["tiers"].push_back({{"tier", it.tier},
                                 {"offered", it.offered},
                                 {"completed", it.completed},
                                 {"within_deadline", it.withinDeadline},
                                 {"shed", it.shed},
                                 {"expired", it.expired},
                                 {"refused", it.refused},
                                 {"lost", it.lost}});
    }
    json["prefill_tokens"] = report.prefillTokens;
    json["wasted_prefill_tokens"] = report.wastedPrefillTokens;
    json["order_violations"] = report.orderViolations;
    json["double_dispatches"] = report.doubleDispatches;
    const bool timed = report.decisionSeconds > 0;
    json["decisions_per_s"] = timed ? static_cast<double>(report.decisions) / report.decisionSeconds : 0;
    json["messages"] = report.messages;
    json["cross_region_bytes"] = report.crossRegionBytes;
    return json;
}

void printText(const Report &report)
{
    std::uint64_t inTime = 0;
    std::printf("%-26s", report.policy.c_str());
    for (const auto &it : report.tiers) {
        inTime += it.withinDeadline;
        std::printf(
            " t%u %6llu/%-6llu", it.tier, (unsigned long long)it.withinDeadline, (unsigned long long)it.offered);
    }
    const double perDecision =
        report.decisions > 0 ? 1e6 * report.decisionSeconds / static_cast<double>(report.decisions) : 0;
    std::printf(
        " total %7llu prefill %9llu wasted %9llu violations %llu double %llu messages %llu xbytes %llu us %.1f\n",
        (unsigned long long)inTime,
        (unsigned long long)report.prefillTokens,
        (unsigned long long)report.wastedPrefillTokens,
        (unsigned long long)report.orderViolations,
        (unsigned long long)report.doubleDispatches,
        (unsigned long long)report.messages,
        (unsigned long long)report.crossRegionBytes,
        perDecision);
    for (const auto &it : report.tiers) {
        if (it.shed + it.expired + it.refused + it.lost + (it.completed - it.withinDeadline) > 0) {
            std::printf("    t%u late %llu shed %llu expired %llu refused %llu lost %llu\n",
                        it.tier,
                        (unsigned long long)(it.completed - it.withinDeadline),
                        (unsigned long long)it.shed,
                        (unsigned long long)it.expired,
                        (unsigned long long)it.refused,
                        (unsigned long long)it.lost);
        }
    }
}

/// @return the policies to run; empty if @p policy is unknown
std::vector<std::string> selectPolicies(const std::string &policy)
{
    auto names = baselineNames();
    names.insert(names.begin(), "monsoonward");
    if (policy == "all") {
        return names;
    }
    const bool known = std::find(names.begin(), names.end(), policy) != names.end();
    return known ? std::vector<std::string> {policy} : std::vector<std::string> {};
}

int run(const Options &options)
{
    const auto policies = selectPolicies(options.policy);
    if (policies.empty()) {
        std::cerr << "unknown policy \"" << options.policy << "\"\n";
        return 2;
    }
    if (options.format != "text" && options.format != "json") {
        std::cerr << "unknown format \"" << options.format << "\", expected text or json\n";
        return 2;
    }
    const auto workload = readWorkload(options.workload);
    if (!workload) {
        std::cerr << workload.error().message << "\n";
        return 2;
    }
    auto output = nlohmann::ordered_json::array();
    for (const auto &it : policies) {
        const auto report = it == "monsoonward" ? runMonsoonward(workload.value(), options.seed)
                                                : runBaseline(it, workload.value(), options.seed);
        output.push_back(toJson(report));
        if (options.format == "text") {
            printText(report);
        }
    }
    Report bound;
    bound.policy = "bound";
    bound.seed = options.seed;
    bound.tiers = completionBounds(workload.value(), options.seed);
    output.push_back(toJson(bound));
    if (options.format == "text") {
        printText(bound);
    } else {
        std::cout << output.dump(2) << "\n";
    }
    return 0;
}

} // namespace

} // namespace monsoonward::bench

int main(int argc, char **argv)
{
    namespace po = boost::program_options;
    monsoonward::bench::Options options;
    po::options_description description("decision_bench options");
    description.add_options()("help", "print this text");
    description.add_options()("workload", po::value(&options.workload)->required(), "INI file");
    description.add_options()("policy", po::value(&options.policy), "a policy's name, or all (the default)");
    description.add_options()("seed", po::value(&options.seed), "of the arrivals and choices (default 1)");
    description.add_options()("format", po::value(&options.format), "text (the default) or json");
    try {
        po::variables_map values;
        po::store(po::parse_command_line(argc, argv, description), values);
        if (values.count("help") != 0) {
            std::cout << description;
            return 0;
        }
        po::notify(values);
    } catch (const po::error &ec) {
        std::cerr << ec.what() << "\n" << description;
        return 2;
    }
    return monsoonward::bench::run(options);
}
