// Roll-outs over fleets of gateways that hear each other's reports late.
#include "monsoonward/dispatch/dispatch.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <iostream>
#include <queue>
#include <random>

using namespace monsoonward;
using namespace std::chrono_literals;

namespace
{

/// How a version answers.
struct VersionKind
{
    const char *name;
    double failureShare = 0;
    double slowShare = 0; ///< of answers that take four times as long
    Duration badFrom {}; ///< after the order
    double badAboveLoad = 0; ///< of the engines
    int badRoute = -1; ///< -1: all routes
};

struct Scenario
{
    std::size_t gateways = 22;
    Duration timeLimit = 20s;
    double perSecond = 700; ///< requests for the service over all gateways
    std::size_t cutOff = 0; ///< gateways that hear nobody and aren't heard
    Duration drainTime = 4s;
    double load = 0.8; ///< of each engine in the second half of the time
};

struct Played
{
    std::size_t requests = 0; ///< until the time limit
    std::size_t tried = 0; ///< of those, at the new version
    std::size_t afterFiftieth = 0; ///< new requests later than 5 s after the 50th bad answer
    std::optional<Duration> verdictAfter {}; ///< all gateways that hear each other have stopped
    std::optional<Duration> completedAfter {};
    bool isBadAnywhere = false;
};

/// Plays one roll-out: callers' requests, answers, and reports every 270 ms that are 60 ms old on arrival.
Played play(const VersionKind &kind, const Scenario &scenario, unsigned seed)
{
    constexpr std::size_t routes = 3;
    constexpr Duration reportInterval = 270ms;
    struct Answer
    {
        TimePoint at;
        std::size_t gateway;
        std::size_t route;
        bool isNew;
        std::optional<Duration> time;
        bool operator>(const Answer &other) const
        {
            return at > other.at;
        }
    };
    std::mt19937 random(seed);
    std::uniform_real_distribution<double> uniform(0, 1);
    std::lognormal_distribution<double> spread(0, 0.4);
    std::poisson_distribution<int> arrivals(scenario.perSecond / 100);
    VirtualClock clock;
    const auto begin = clock.now();
    std::vector<Rollout> fleet;
    for (std::size_t it = 0; it < scenario.gateways; ++it) {
        fleet.emplace_back(RolloutOrder {ServiceName("s"), "v2", scenario.timeLimit, 7},
                           RolloutLimits {0.1, 50, 5s},
                           begin,
                           scenario.drainTime,
                           1.0 / static_cast<double>(scenario.gateways),
                           uniform(random));
    }
    std::priority_queue<Answer, std::vector<Answer>, std::greater<>> answers;
    std::queue<std::pair<TimePoint, std::pair<std::size_t, RolloutReport>>> reports;
    Played played;
    std::size_t badAnswers = 0;
    std::optional<TimePoint> fiftiethAt;
    std::uint32_t oldInProgress = 0;
    const double baseMs[routes] = {80, 40, 150};
    for (; clock.now() - begin < scenario.timeLimit; clock.advance(10ms)) {
        const auto now = clock.now();
        const auto elapsed = now - begin;
        const double load = elapsed * 2 > scenario.timeLimit ? scenario.load : 0.4;
        for (int n = arrivals(random); n > 0; --n) {
            const auto gateway = static_cast<std::size_t>(uniform(random) * static_cast<double>(scenario.gateways));
            const auto pick = uniform(random);
            const std::size_t route = pick < 0.5 ? 0 : pick < 0.85 ? 1 : 2;
            auto &rollout = fleet[gateway];
            rollout.requestReceived();
            const auto choice = rollout.choose(true, route != 2, uniform(random), now);
            const bool isNew = choice == VersionChoice::Trial || choice == VersionChoice::New;
            if (choice == VersionChoice::Trial) {
                rollout.trialSent();
            }
            ++played.requests;
            played.tried += isNew ? 1 : 0;
            played.afterFiftieth += isNew && fiftiethAt && now - *fiftiethAt > 5s ? 1 : 0;
            const bool isBadNow = isNew && elapsed >= kind.badFrom && load >= kind.badAboveLoad
                && (kind.badRoute < 0 || kind.badRoute == static_cast<int>(route));
            auto ms = baseMs[route] * (1 + load) * spread(random);
            const bool fails = uniform(random) < (isBadNow ? kind.failureShare : 0.002);
            const bool isSlow = isBadNow && uniform(random) < kind.slowShare;
            ms *= isSlow ? 4 : 1;
            const auto time = std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms));
            answers.push({now + time, gateway, route, isNew, fails ? std::nullopt : std::optional<Duration>(time)});
            oldInProgress += isNew ? 0 : 1;
            badAnswers += isBadNow && (fails || isSlow) ? 1 : 0;
            if (badAnswers == 50 && !fiftiethAt) {
                fiftiethAt = now;
            }
        }
        for (; !answers.empty() && answers.top().at <= now; answers.pop()) {
            const auto &it = answers.top();
            fleet[it.gateway].answered(it.route, it.isNew, it.time);
            oldInProgress -= it.isNew ? 0 : 1;
        }
        for (std::size_t it = scenario.cutOff; it < scenario.gateways; ++it) {
            const auto offset = reportInterval * static_cast<int>(it) / static_cast<int>(scenario.gateways);
            if ((elapsed + 10ms - offset) % reportInterval < 10ms) {
                reports.push({now + 60ms, {it, fleet[it].report()}});
            }
        }
        for (; !reports.empty() && reports.front().first <= now; reports.pop()) {
            const auto &[from, report] = reports.front().second;
            for (std::size_t it = scenario.cutOff; it < scenario.gateways; ++it) {
                if (it != from) {
                    fleet[it].addReport(HostName("g" + std::to_string(from)), report);
                }
            }
        }
        const auto heard = scenario.gateways - scenario.cutOff - 1;
        std::size_t stopped = 0;
        std::size_t bad = 0;
        for (std::size_t it = 0; it < scenario.gateways; ++it) {
            const bool isCut = it < scenario.cutOff;
            RolloutSurroundings around {isCut ? 0 : heard, scenario.gateways - 1, 0, oldInProgress, 100, 280, 280};
            fleet[it].advance(around, now);
            const auto phase = fleet[it].phase();
            stopped += !isCut && phase == RolloutPhase::Stopped ? 1 : 0;
            bad += !isCut && phase == RolloutPhase::Bad ? 1 : 0;
        }
        played.isBadAnywhere = played.isBadAnywhere || bad > 0;
        if (bad == heard + 1 && !played.verdictAfter) {
            played.verdictAfter = elapsed;
        }
        const RolloutSurroundings around {
            heard, scenario.gateways - 1, stopped == 0 ? 0 : stopped - 1, oldInProgress, 100, 280, 280};
        if (!played.completedAfter && fleet.back().decision(around, now) == RolloutState::Completed) {
            played.completedAfter = elapsed;
            break;
        }
    }
    return played;
}

const std::vector<VersionKind> badKinds {
    {"fails 5 %", 0.05},
    {"fails 30 %", 0.3},
    {"slow x4, 30 %", 0, 0.3},
    {"slow x4, all", 0, 1},
    {"fails 30 % after 10 s", 0.3, 0, 10s},
    {"fails 30 % under load", 0.3, 0, {}, 0.7},
    {"fails 30 % on one route", 0.3, 0, {}, 0, 2},
    {"slow x4, all, on one route", 0, 1, {}, 0, 1},
};

double exposureOf(const Played &played)
{
    return std::max(0.0, static_cast<double>(played.tried) - 25) / static_cast<double>(played.requests);
}

} // namespace

TEST_CASE("a bad version is rolled back with less than half of the exposure allowed, in fleets of any size")
{
    for (const std::size_t gateways : {3U, 22U, 68U}) {
        for (const auto &kind : badKinds) {
            CAPTURE(kind.name);
            CAPTURE(gateways);
            Scenario scenario;
            scenario.gateways = gateways;
            const auto played = play(kind, scenario, 1);
            CHECK(played.verdictAfter);
            CHECK(exposureOf(played) < 0.05);
            CHECK(played.afterFiftieth == 0);
        }
    }
}

TEST_CASE("a good version is completed in time at light and at heavy load")
{
    for (const std::size_t gateways : {3U, 22U, 68U}) {
        for (const double perSecond : {40.0, 700.0}) {
            CAPTURE(gateways);
            CAPTURE(perSecond);
            Scenario scenario;
            scenario.gateways = gateways;
            scenario.perSecond = perSecond;
            const auto played = play({"good"}, scenario, 1);
            CHECK_FALSE(played.isBadAnywhere);
            CHECK(played.completedAfter);
        }
    }
}

TEST_CASE("the exposure holds while gateways hear nobody")
{
    Scenario scenario;
    scenario.cutOff = 7;
    for (const auto &kind : badKinds) {
        CAPTURE(kind.name);
        CHECK(exposureOf(play(kind, scenario, 1)) < 0.05);
    }
}

TEST_CASE("measured: exposure, time to the verdict and false verdicts over many runs")
{
    const auto *text = std::getenv("ROLLOUT_RUNS");
    const unsigned runs = text == nullptr ? 3 : static_cast<unsigned>(std::atoi(text));
    for (const double perSecond : {100.0, 700.0}) {
        auto kinds = badKinds;
        kinds.push_back({"good"});
        for (const auto &kind : kinds) {
            Scenario scenario;
            scenario.perSecond = perSecond;
            double worst = 0;
            std::size_t verdicts = 0;
            std::size_t completed = 0;
            std::size_t late = 0;
            std::vector<double> times;
            for (unsigned seed = 1; seed <= runs; ++seed) {
                const auto played = play(kind, scenario, seed);
                worst = std::max(worst, exposureOf(played));
                verdicts += played.isBadAnywhere ? 1 : 0;
                completed += played.completedAfter ? 1 : 0;
                late = std::max(late, played.afterFiftieth);
                const auto at = played.verdictAfter ? played.verdictAfter : played.completedAfter;
                times.push_back(at ? std::chrono::duration<double>(*at).count() : 99);
            }
            std::sort(times.begin(), times.end());
            if (text != nullptr) {
                std::cout << perSecond << "/s " << kind.name << ": verdicts " << verdicts << ", completed " << completed
                          << " of " << runs << ", time median " << times[times.size() / 2] << " longest "
                          << times.back() << " s, exposure at most " << worst << ", after the 50th " << late << "\n";
            }
            CHECK((kind.name == std::string("good") ? verdicts == 0 && completed == runs : late == 0));
        }
    }
}
