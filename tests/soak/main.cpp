// Runs random scenarios on a simulated fleet, one seed after another, until the time is up or a guarantee is violated.
#include <story.h>

#include <boost/program_options.hpp>

#include <iostream>

using namespace monsoonward;

namespace po = boost::program_options;

namespace
{

constexpr unsigned maxSteps = 120;
constexpr unsigned stepParameterLimit = 6000; // exclusive, for Step::a and Step::b
constexpr unsigned stepKinds = static_cast<unsigned>(StepKind::Wait) + 1;

/// Counts over all runs so far.
struct Totals
{
    std::uint64_t runs = 0;
    std::uint64_t requests = 0;
    std::uint64_t dispatches = 0;
    std::uint64_t completed = 0;
    std::map<std::string, std::uint64_t> steps;
};

/// Half of the steps send requests; the others are drawn from all kinds.
StepKind randomKind(Random &random)
{
    switch (random.nextBelow(4)) {
    case 0:
        return StepKind::Send;
    case 1:
        return StepKind::SendKeyed;
    default:
        return static_cast<StepKind>(random.nextBelow(stepKinds));
    }
}

void printCalls(const SimRecord &record)
{
    const auto ms = [](TimePoint at) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(at.time_since_epoch()).count();
    };
    for (const auto &[name, call] : record.calls()) {
        std::cout << name << " (" << textOf(call.id) << ") sent " << ms(call.sentAt) << " to " << call.request.entry
                  << " customer " << call.request.customer << " key \"" << call.request.key << "\"";
        for (const auto &it : record.runs()) {
            if (it.request == name) {
                std::cout << " | ran on " << it.target << " at " << ms(it.at) << (it.completed ? " whole" : "");
            }
        }
        for (const auto &it : call.answers) {
            std::cout << " | told " << textOf(it.verdict) << " " << (it.reason ? textOf(*it.reason) : "") << " at "
                      << ms(it.at);
        }
        std::cout << (call.connectionLost ? " | connection lost" : "") << "\n";
    }
}

/// @return one line for each guarantee that the run of @p seed violates
/// @param trace whether to print each step with its virtual time
std::vector<std::string> runOnce(std::uint64_t seed, bool trace, Totals &totals)
{
    SeededRandom random(seed);
    RandomScenario scenario(seed);
    try {
        const auto steps = 1 + random.nextBelow(maxSteps);
        for (std::size_t n = 0; n < steps; ++n) {
            Step step;
            step.kind = randomKind(random);
            step.a = static_cast<unsigned>(random.nextBelow(stepParameterLimit));
            step.b = static_cast<unsigned>(random.nextBelow(stepParameterLimit));
            ++totals.steps[textOf(step.kind)];
            if (trace) {
                const auto at = std::chrono::duration_cast<std::chrono::milliseconds>(scenario.fleet().now());
                std::cout << at.count() << " ms: " << textOf(step.kind) << " " << step.a << " " << step.b << "\n";
            }
            scenario.apply(step);
        }
        scenario.settle();
    } catch (const InvariantViolation &violation) {
        return {std::string("invariant inside the program: ") + violation.what()};
    }
    const auto &record = scenario.fleet().record();
    if (trace) {
        printCalls(record);
    }
    ++totals.runs;
    totals.requests += record.calls().size();
    totals.dispatches += record.runs().size();
    for (const auto &it : record.runs()) {
        totals.completed += it.completed ? 1 : 0;
    }
    return scenario.fleet().violations(true);
}

void print(const Totals &totals, std::uint64_t firstSeed, Duration elapsed)
{
    std::cout << "seeds " << firstSeed << " to " << firstSeed + totals.runs - 1 << ", " << totals.runs << " runs in "
              << std::chrono::duration_cast<std::chrono::seconds>(elapsed).count() << " s\n"
              << totals.requests << " requests, " << totals.dispatches << " dispatched, " << totals.completed
              << " run to their end\n";
    for (const auto &[kind, count] : totals.steps) {
        std::cout << "  " << kind << " " << count << "\n";
    }
}

} // namespace

int main(int argc, char **argv)
{
    std::uint64_t seed = 1;
    std::uint64_t runs = 0;
    unsigned seconds = 0;
    po::options_description options("soak");
    auto add = options.add_options();
    add("help", "print this text");
    add("seed", po::value(&seed)->default_value(1), "seed of the first run; the next one has the next number");
    add("runs", po::value(&runs)->default_value(0), "number of runs; 0: run until the time is up");
    add("seconds", po::value(&seconds)->default_value(10), "time limit when the number of runs is 0");
    bool trace = false;
    add("trace", po::bool_switch(&trace), "print each step");
    po::variables_map map;
    try {
        po::store(po::parse_command_line(argc, argv, options), map);
        po::notify(map);
    } catch (const std::exception &error) {
        std::cerr << error.what() << "\n";
        return 2;
    }
    if (map.count("help") != 0) {
        std::cout << options;
        return 0;
    }
    Totals totals;
    const SteadyClock clock;
    const auto startedAt = clock.now();
    const auto mayContinue = [&] {
        return runs != 0 ? totals.runs < runs : clock.now() - startedAt < std::chrono::seconds(seconds);
    };
    while (mayContinue()) {
        const auto current = seed + totals.runs;
        const auto violations = runOnce(current, trace, totals);
        if (violations.empty()) {
            continue;
        }
        std::cout << "violations with seed " << current << ":\n";
        for (const auto &it : violations) {
            std::cout << "  " << it << "\n";
        }
        std::cout << "repeat: tools/soak --seed " << current << " --runs 1 --trace\n";
        return 1;
    }
    print(totals, seed, clock.now() - startedAt);
    std::cout << "no violation\n";
}
