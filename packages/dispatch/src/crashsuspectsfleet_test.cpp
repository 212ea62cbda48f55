#include "monsoonward/dispatch/dispatch.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <optional>
#include <random>
#include <set>

using namespace monsoonward;
using namespace std::chrono_literals;

namespace
{

using Traits = std::vector<RequestTrait>;

constexpr Duration step = 5ms;
constexpr RequestTrait firstPart = 1;
constexpr RequestTrait badPart = 1'007;
constexpr std::size_t subjects = 200;

struct FleetOptions
{
    std::optional<Duration> badFrom; // requests with the bad part arrive from then on
    std::optional<Duration> resetAt; // all connections of the first gateway are reset
    Duration restartInterval = Duration::max(); // between planned restarts of engines, which break off
                                                // requests
    double requestsPerStep = 0.8; // sound ones
    Duration length = 20s;
};

/// Gateways that send requests to engines, with the time that answers and
/// reports take, and lost reports.
class Fleet
{
public:
    Fleet(unsigned seed, const FleetOptions &options)
        : m_random(seed)
        , m_options(options)
        , m_gateways(5)
        , m_engines(12)
    {
        for (auto &it : m_engines) {
            it.run = ++m_lastRun;
        }
    }

    void run()
    {
        Duration nextBad = m_options.badFrom.value_or(Duration::max());
        Duration nextRestart = m_options.restartInterval;
        std::size_t restarted = 0;
        for (Duration time {}; time < m_options.length; time += step) {
            m_clock.advance(step);
            if (chance(m_options.requestsPerStep)) {
                send(below(m_gateways.size()), soundRequest());
            }
            if (time >= nextBad) {
                auto request = soundRequest();
                request.traits[2] = badPart;
                send(below(m_gateways.size()), request);
                nextBad += 150ms + 10ms * static_cast<int>(below(40));
            }
            if (time >= nextRestart) {
                endRun(m_engines[restarted++ % m_engines.size()]);
                nextRestart += m_options.restartInterval;
            }
            if (m_options.resetAt && time == *m_options.resetAt) {
                breakOff([](const Request &it) { return it.gateway == 0; });
            }
            progressRequests();
            exchangeReports();
            observeRefusals();
        }
    }

    /// @return traits that the gateway refuses
    std::set<RequestTrait> refused(std::size_t gateway) const
    {
        std::set<RequestTrait> traits;
        for (const auto trait : m_seen) {
            if (m_gateways[gateway].suspects.refusedFor({trait}, m_clock.now())) {
                traits.insert(trait);
            }
        }
        return traits;
    }
    bool isRefusedExactly(const std::set<RequestTrait> &traits) const
    {
        for (std::size_t n = 0; n < m_gateways.size(); ++n) {
            if (refused(n) != traits || m_gateways[n].suspects.refusedCount(m_clock.now()) != traits.size()) {
                return false;
            }
        }
        return true;
    }

    unsigned crashes = 0; // by the bad part
    std::optional<Duration> untilBadRefused {}; // from the third crash, at all gateways
    std::optional<Duration> untilOnlyBadRefused {};
    Duration longestSoundRefusal {};
    std::size_t soundRefused = 0; // requests
    std::size_t soundSent = 0;

private:
    struct Request
    {
        Traits traits;
        std::size_t gateway = 0;
        std::size_t engine = 0;
        EngineRun run = 0;
        TimePoint sentAt;
        TimePoint answersAt;
        TimePoint endsAt;
        bool hasAnswered = false;
        unsigned attempts = 0;
    };
    struct Engine
    {
        EngineRun run = 0;
        bool isRunning = true;
        TimePoint startsAt;
    };
    struct Gateway
    {
        CrashSuspects suspects;
        std::map<std::size_t, TimePoint> pausedUntil; // by engine
        std::optional<TimePoint> soundRefusedSince;
    };
    struct Datagram
    {
        std::size_t to;
        TimePoint arrivesAt;
        CrashReport report;
    };

    std::size_t below(std::size_t n)
    {
        return std::uniform_int_distribution<std::size_t>(0, n - 1)(m_random);
    }
    bool chance(double p)
    {
        return std::bernoulli_distribution(p)(m_random);
    }

    Request soundRequest()
    {
        auto subject = 1'000 + below(subjects);
        subject += subject == badPart ? 1 : 0;
        Request request;
        request.traits = {firstPart, 10 + below(5), subject, ++m_lastRequest};
        return request;
    }

    void send(std::size_t gateway, Request request)
    {
        auto &sender = m_gateways[gateway];
        const auto now = m_clock.now();
        const bool isSound = request.traits[2] != badPart;
        m_seen.insert(request.traits.begin(),
                      request.traits.end() - 1); // without the one of the whole request
        soundSent += isSound ? 1 : 0;
        if (sender.suspects.refusedFor(request.traits, now)) {
            soundRefused += isSound ? 1 : 0;
            return;
        }
        for (unsigned tries = 0; tries < 30; ++tries) {
            const auto n = below(m_engines.size());
            const auto &engine = m_engines[n];
            if (sender.pausedUntil[n] > now) {
                continue;
            }
            if (!engine.isRunning) {
                sender.suspects.engineRefusedConnection(engine.run, now);
                sender.pausedUntil[n] = now + 500ms;
                continue;
            }
            request.gateway = gateway;
            request.engine = n;
            request.run = engine.run;
            request.sentAt = now;
            request.answersAt = now + 40ms + 1ms * static_cast<int>(below(100));
            request.endsAt = request.answersAt + 100ms + 1ms * static_cast<int>(below(800));
            request.hasAnswered = false;
            ++request.attempts;
            m_requests.push_back(request);
            return;
        }
    }

    void progressRequests()
    {
        const auto now = m_clock.now();
        for (auto &it : m_engines) {
            if (!it.isRunning && it.startsAt <= now) {
                it.isRunning = true;
                it.run = ++m_lastRun;
            }
        }
        std::set<std::size_t> crashing;
        for (const auto &it : m_requests) {
            if (it.traits[2] == badPart && it.answersAt <= now) {
                crashing.insert(it.engine);
            }
        }
        for (const auto n : crashing) {
            ++crashes;
            m_thirdCrashAt = crashes == 3 ? now : m_thirdCrashAt;
            endRun(m_engines[n]);
        }
        for (auto it = m_requests.begin(); it != m_requests.end();) {
            auto &suspects = m_gateways[it->gateway].suspects;
            if (!it->hasAnswered && it->answersAt <= now) {
                it->hasAnswered = true;
                suspects.engineAnswered(it->run, it->sentAt, now);
            }
            if (it->endsAt <= now) {
                suspects.requestCompleted(it->traits, now);
                it = m_requests.erase(it);
                continue;
            }
            ++it;
        }
    }

    void endRun(Engine &engine)
    {
        if (!engine.isRunning) {
            return;
        }
        engine.isRunning = false;
        engine.startsAt = m_clock.now() + 1400ms + 10ms * static_cast<int>(below(200));
        breakOff([&](const Request &it) { return it.run == engine.run; });
    }

    template<class Predicate>
    void breakOff(Predicate isBroken)
    {
        const auto firstBroken = std::stable_partition(
            m_requests.begin(), m_requests.end(), [&](const Request &it) { return !isBroken(it); });
        const std::vector<Request> broken(firstBroken, m_requests.end());
        m_requests.erase(firstBroken, m_requests.end());
        for (const auto &it : broken) {
            m_gateways[it.gateway].suspects.crashObserved(it.traits, it.run, m_clock.now());
        }
        for (const auto &it : broken) {
            if (it.attempts < 3 && m_gateways[it.gateway].suspects.mayRetry(it.traits, m_clock.now())) {
                send(it.gateway, it);
            }
        }
    }

    void exchangeReports()
    {
        const auto now = m_clock.now();
        for (auto it = m_datagrams.begin(); it != m_datagrams.end();) {
            if (it->arrivesAt <= now) {
                m_gateways[it->to].suspects.addReport(it->report, now);
                it = m_datagrams.erase(it);
            } else {
                ++it;
            }
        }
        for (std::size_t from = 0; from < m_gateways.size(); ++from) {
            auto &suspects = m_gateways[from].suspects;
            if ((now.time_since_epoch() / step + from) % 10 != 0) {
                continue;
            }
            suspects.expire(now);
            const auto report = suspects.reportIfDue(now);
            for (std::size_t to = 0; report && to < m_gateways.size(); ++to) {
                if (to != from && chance(0.95)) {
                    m_datagrams.push_back({to, now + 1ms * static_cast<int>(1 + below(30)), *report});
                }
            }
        }
    }

    void observeRefusals()
    {
        const auto now = m_clock.now();
        for (auto &it : m_gateways) {
            const auto isRefused = [&](RequestTrait trait) {
                return trait != badPart && it.suspects.refusedFor({trait}, now);
            };
            const std::size_t refusedBad = it.suspects.refusedFor({badPart}, now) ? 1 : 0;
            if (it.suspects.refusedCount(now) == refusedBad || std::none_of(m_seen.begin(), m_seen.end(), isRefused)) {
                it.soundRefusedSince.reset();
                continue;
            }
            it.soundRefusedSince = it.soundRefusedSince.value_or(now);
            longestSoundRefusal = std::max<Duration>(longestSoundRefusal, now - *it.soundRefusedSince);
        }
        const bool isBadRefused = std::all_of(m_gateways.begin(), m_gateways.end(), [&](const Gateway &it) {
            return it.suspects.refusedFor({badPart}, now).has_value();
        });
        if (m_thirdCrashAt && !untilBadRefused && isBadRefused) {
            untilBadRefused = now - *m_thirdCrashAt;
        }
        if (m_thirdCrashAt && !untilOnlyBadRefused && isRefusedExactly({badPart})) {
            untilOnlyBadRefused = now - *m_thirdCrashAt;
        }
    }

    std::mt19937 m_random;
    FleetOptions m_options;
    VirtualClock m_clock;
    std::vector<Gateway> m_gateways;
    std::vector<Engine> m_engines;
    std::vector<Request> m_requests;
    std::vector<Datagram> m_datagrams;
    std::set<RequestTrait> m_seen;
    std::optional<TimePoint> m_thirdCrashAt;
    EngineRun m_lastRun = 0;
    RequestTrait m_lastRequest = 1'000'000;
};

constexpr unsigned seeds = 25;

} // namespace

TEST_CASE("after at most five crashes all gateways refuse the bad part and nothing else")
{
    for (const double requestsPerStep : {0.8, 0.05}) {
        std::size_t soundRefused = 0;
        std::size_t soundSent = 0;
        for (unsigned seed = 1; seed <= seeds; ++seed) {
            CAPTURE(requestsPerStep);
            CAPTURE(seed);
            FleetOptions options;
            options.badFrom = 2s;
            options.length = 12s;
            options.requestsPerStep = requestsPerStep;
            Fleet fleet(seed, options);
            fleet.run();
            CHECK(fleet.crashes >= 3);
            CHECK(fleet.crashes <= 5);
            REQUIRE(fleet.untilBadRefused);
            CHECK(*fleet.untilBadRefused <= 1s);
            REQUIRE(fleet.untilOnlyBadRefused);
            CHECK(*fleet.untilOnlyBadRefused <= 3s);
            CHECK(fleet.isRefusedExactly({badPart}));
            CHECK(fleet.longestSoundRefusal <= 1100ms);
            soundRefused += fleet.soundRefused;
            soundSent += fleet.soundSent;
        }
        CHECK(soundRefused <= soundSent / 200);
    }
}

TEST_CASE("a reset of all connections of one gateway refuses nothing after the "
          "engines have answered again")
{
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        FleetOptions options;
        options.resetAt = 3s;
        options.length = 5s;
        Fleet fleet(seed, options);
        fleet.run();
        CHECK(fleet.isRefusedExactly({}));
        CHECK(fleet.longestSoundRefusal <= 1100ms);
    }
}

TEST_CASE("planned restarts that break off requests refuse nothing sound")
{
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        FleetOptions options;
        options.restartInterval = 2s;
        options.length = 28s; // each engine once
        Fleet fleet(seed, options);
        fleet.run();
        CHECK(fleet.isRefusedExactly({}));
        CHECK(fleet.longestSoundRefusal <= 1100ms);
    }
}

TEST_CASE("a restarted gateway learns a refusal from any peer within 1.1 s")
{
    VirtualClock clock;
    std::vector<CrashSuspects> peers(3);
    for (EngineRun run = 1; run <= 3; ++run) {
        peers[0].crashObserved({badPart, firstPart}, run, clock.now());
    }
    clock.advance(10ms);
    peers[0].requestCompleted({firstPart}, clock.now());
    const auto report = peers[0].reportIfDue(clock.now());
    REQUIRE(report);
    peers[1].addReport(*report, clock.now());
    peers[2].addReport(*report, clock.now());
    for (unsigned n = 0; n < 1'200; ++n) { // four minutes
        clock.advance(200ms);
        for (auto &it : peers) {
            it.expire(clock.now());
            it.reportIfDue(clock.now());
        }
    }
    for (auto &peer : peers) {
        CrashSuspects restarted;
        for (Duration time {}; time < 1100ms; time += 50ms) {
            clock.advance(50ms);
            if (const auto due = peer.reportIfDue(clock.now())) {
                restarted.addReport(*due, clock.now());
            }
        }
        CHECK(restarted.refusedFor({badPart}, clock.now()) == peer.refusedFor({badPart}, clock.now()));
        CHECK(restarted.refusedFor({badPart}, clock.now()));
        CHECK_FALSE(restarted.refusedFor({firstPart}, clock.now()));
        CHECK(restarted.takeNewlyRefused(clock.now()) == Traits {badPart});
    }
}

TEST_CASE("reports in any order, duplicated and delayed lead all gateways to "
          "the same refusals")
{
    const bool passed = rc::check("crash reports", [](const std::vector<std::uint32_t> &events) {
        constexpr std::size_t gateways = 3;
        constexpr RequestTrait traits = 5;
        VirtualClock clock;
        std::vector<CrashSuspects> suspects(gateways);
        std::vector<std::pair<CrashReport, TimePoint>> sent;
        for (const auto bits : events) {
            auto &own = suspects[bits % gateways];
            const RequestTrait trait = 1 + (bits >> 4U) % traits;
            const EngineRun run = 1 + (bits >> 8U) % 6;
            const auto now = clock.now();
            switch ((bits >> 12U) % 8) {
            case 0:
            case 1:
                own.crashObserved({trait, 1 + (bits >> 16U) % traits}, run, now);
                break;
            case 2:
                own.engineRefusedConnection(run, now);
                break;
            case 3:
                own.engineAnswered(run, now - 20ms, now);
                break;
            case 4:
                own.requestCompleted({trait}, now);
                break;
            case 5:
                clock.advance(1ms * ((bits >> 16U) % 64));
                break;
            case 6:
                if (const auto report = own.reportIfDue(now)) {
                    sent.emplace_back(*report, now);
                }
                break;
            default:
                if (!sent.empty()) { // any earlier report, possibly again
                    own.addReport(sent[(bits >> 16U) % sent.size()].first, now);
                }
            }
        }
        clock.advance(2s);
        for (unsigned n = 0; n < 6; ++n) {
            clock.advance(1s);
            for (std::size_t from = 0; from < gateways; ++from) {
                const auto report = suspects[from].reportIfDue(clock.now());
                for (std::size_t to = 0; report && to < gateways; ++to) {
                    suspects[to].addReport(*report, clock.now());
                }
            }
        }
        for (RequestTrait trait = 1; trait <= traits; ++trait) {
            for (const auto &it : suspects) {
                RC_ASSERT(it.refusedFor({trait}, clock.now()) == suspects[0].refusedFor({trait}, clock.now()));
                RC_ASSERT(it.mayRetry({trait}, clock.now()) == suspects[0].mayRetry({trait}, clock.now()));
            }
        }
    });
    CHECK(passed);
}
