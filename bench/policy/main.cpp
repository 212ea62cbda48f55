#include "fairqueue.h"
#include "placement.h"

#include <benchmark/benchmark.h>

/// Microbenchmarks: time of a single policy decision by the number of waiting requests or of targets.
namespace monsoonward
{

namespace
{

constexpr std::uint64_t customerCount = 10000;
const ServiceName serviceName("service");

Reservation makeReservation(std::uint64_t number, Random &random)
{
    Reservation it;
    it.reserve.id = {{1, 1}, number};
    it.reserve.tier = Tier(static_cast<unsigned>(random.nextBelow(5)));
    it.reserve.customer = CustomerName("customer-" + std::to_string(random.nextBelow(customerCount)));
    it.reserve.promptTokens = static_cast<std::uint32_t>(random.nextBelow(4000));
    it.deadline = TimePoint(std::chrono::milliseconds(random.nextBelow(100000)));
    return it;
}

/// Adds a reservation to the fair queue and takes the first one. Argument: the number of waiting reservations.
void takeBest(benchmark::State &state)
{
    SeededRandom random(1);
    FairQueue queue;
    std::uint64_t number = 0;
    for (std::int64_t n = 0; n < state.range(0); ++n) {
        queue.push(makeReservation(++number, random));
    }
    for ([[maybe_unused]] auto _ : state) {
        queue.push(makeReservation(++number, random));
        const auto *first = queue.findFirst(1, [](const Reservation &) { return true; });
        benchmark::DoNotOptimize(queue.take(first->reserve.id));
    }
    state.SetComplexityN(state.range(0));
}

/// Chooses the targets to reserve for one request. Argument: the number of targets; 370 hosts with 2,300 engines are
/// the intended fleet size.
void chooseTargets(benchmark::State &state)
{
    VirtualClock clock;
    SeededRandom random(1);
    Placement placement(RegionName("south"), clock, random);
    placement.configure(std::make_shared<Configuration>());
    for (std::int64_t n = 0; n < state.range(0); ++n) {
        TargetStatus status;
        status.target = TargetName("target-" + std::to_string(n));
        status.service = serviceName;
        status.prefillTokensPerSecond = 10000;
        status.decodeTokensPerSecond = 50;
        status.cachedPrefixes = {random.nextBelow(1000), random.nextBelow(1000)};
        placement.onTargetStatus(status);
    }
    RequestSpec spec;
    spec.service = serviceName;
    spec.deadline = clock.now() + std::chrono::seconds(10);
    spec.promptTokens = 1024;
    for ([[maybe_unused]] auto _ : state) {
        spec.prefixes = {random.nextBelow(1000), random.nextBelow(1000), random.next(), random.next()};
        benchmark::DoNotOptimize(placement.targetsToReserve({spec, clock.now(), 100}, {}));
    }
    state.SetComplexityN(state.range(0));
}

BENCHMARK(takeBest)->RangeMultiplier(10)->Range(100, 100000)->Complexity(benchmark::oLogN);
BENCHMARK(chooseTargets)->Arg(12)->Arg(37)->Arg(370)->Arg(2300)->Complexity();

} // namespace

} // namespace monsoonward

BENCHMARK_MAIN();
