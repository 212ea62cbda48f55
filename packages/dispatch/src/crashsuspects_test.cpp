#include "monsoonward/dispatch/dispatch.h"

#include <doctest/doctest.h>

using namespace monsoonward;
using namespace std::chrono_literals;

namespace
{

constexpr RequestTrait bad = 1;
constexpr RequestTrait common = 2;
constexpr RequestTrait other = 3;

using Traits = std::vector<RequestTrait>;

/// Several gateways with one clock.
class Gateways
{
public:
    explicit Gateways(std::size_t n = 1)
        : m_gateways(n)
    {
    }

    CrashSuspects &operator[](std::size_t n)
    {
        return m_gateways[n];
    }
    TimePoint now() const
    {
        return m_clock.now();
    }
    void advance(Duration by)
    {
        m_clock.advance(by);
        for (auto &it : m_gateways) {
            it.expire(now());
        }
    }
    /// A run ends and refuses connections afterwards.
    void crash(const Traits &traits, EngineRun run, std::size_t n = 0)
    {
        m_gateways[n].crashObserved(traits, run, now());
        m_gateways[n].engineRefusedConnection(run, now());
    }
    void crashThrice(const Traits &traits, EngineRun firstRun = 1)
    {
        for (EngineRun run = firstRun; run < firstRun + 3; ++run) {
            crash(traits, run);
        }
    }
    bool isRefused(RequestTrait trait, std::size_t n = 0) const
    {
        return m_gateways[n].refusedFor({trait}, now()).has_value();
    }
    /// Each gateway sends what is due to all others.
    void exchange()
    {
        for (std::size_t from = 0; from < m_gateways.size(); ++from) {
            if (const auto report = m_gateways[from].reportIfDue(now())) {
                for (std::size_t to = 0; to < m_gateways.size(); ++to) {
                    if (to != from) {
                        m_gateways[to].addReport(*report, now());
                    }
                }
            }
        }
    }

private:
    VirtualClock m_clock;
    std::vector<CrashSuspects> m_gateways;
};

} // namespace

TEST_CASE("a trait is refused after three crashes for five minutes, requests without it are not")
{
    Gateways it;
    CHECK(it[0].isEmpty());
    CHECK_FALSE(it.isRefused(bad));
    it.crash({bad, common}, 1);
    it[0].requestCompleted({common, other}, it.now());
    it.crash({bad, common}, 2);
    CHECK_FALSE(it[0].isEmpty());
    CHECK_FALSE(it.isRefused(bad));
    it.advance(1s);
    it.crash({bad, common}, 3);
    CHECK(it[0].refusedFor({common, bad}, it.now()) == Duration(5min));
    CHECK_FALSE(it.isRefused(common));
    CHECK_FALSE(it.isRefused(other));
    CHECK(it[0].refusedCount(it.now()) == 1);
    CHECK(it[0].takeNewlyRefused(it.now()) == Traits {bad});
    CHECK(it[0].takeNewlyRefused(it.now()).empty());
    it.advance(5min - 1ms);
    CHECK(it.isRefused(bad));
    it.advance(1ms);
    CHECK_FALSE(it.isRefused(bad));
    CHECK(it[0].takeNewlyCleared(it.now()).empty());
}

TEST_CASE("a crash counts once a connection was refused or after 300 ms")
{
    Gateways it;
    for (EngineRun run = 1; run <= 3; ++run) {
        it[0].crashObserved({bad}, run, it.now());
    }
    it[0].engineRefusedConnection(1, it.now());
    it[0].engineRefusedConnection(2, it.now());
    it.advance(299ms);
    CHECK_FALSE(it.isRefused(bad));
    CHECK(it[0].takeNewlyRefused(it.now()).empty());
    it.advance(1ms);
    CHECK(it.isRefused(bad));
    CHECK(it[0].takeNewlyRefused(it.now()) == Traits {bad});
}

TEST_CASE("several requests with the trait at one crash count once")
{
    Gateways it;
    for (unsigned n = 0; n < 5; ++n) {
        it.crash({bad, bad}, 1);
    }
    CHECK_FALSE(it.isRefused(bad));
    CHECK(it[0].mayRetry({bad}, it.now()));
}

TEST_CASE("a run that answers a later request within 1.5 s has not crashed")
{
    Gateways it(2);
    const auto crashedAt = it.now();
    for (EngineRun run = 1; run <= 3; ++run) {
        it[0].crashObserved({bad, common}, run, it.now());
    }
    it.exchange();
    it.advance(400ms);
    CHECK(it.isRefused(bad));
    it[0].engineAnswered(1, crashedAt, it.now()); // sent before the crash
    CHECK(it.isRefused(bad));
    it[0].engineAnswered(1, crashedAt + 1ms, it.now());
    CHECK_FALSE(it.isRefused(bad));
    CHECK_FALSE(it.isRefused(common));
    CHECK(it[0].takeNewlyRefused(it.now()) == Traits {bad, common});
    CHECK(it[0].takeNewlyCleared(it.now()) == Traits {bad, common});

    SUBCASE("other gateways hear of it, and a late report doesn't revive the crash")
    {
        it.exchange();
        CHECK_FALSE(it.isRefused(bad, 1));
        it[1].addReport({{{bad, 1, 400ms}, {bad, 2, 400ms}, {bad, 3, 400ms}}, {}}, it.now());
        CHECK_FALSE(it.isRefused(bad, 1));
    }
    SUBCASE("traits of which the answering gateway didn't know are not suspected either")
    {
        it[1].addReport({{{other, 1, 401ms}, {other, 2, 401ms}, {other, 3, 401ms}}, {}}, it.now());
        CHECK(it.isRefused(other, 1));
        it.exchange();
        CHECK_FALSE(it.isRefused(other, 1));
    }
    SUBCASE("an answer after more than 1.5 s may come from a new process")
    {
        it.crash({bad}, 4);
        CHECK(it.isRefused(bad));
        it.advance(1501ms);
        it[0].engineAnswered(4, it.now() - 1ms, it.now());
        CHECK(it.isRefused(bad));
    }
}

TEST_CASE("a complete response makes all earlier crashes of its traits void and ends their refusal")
{
    Gateways it(2);
    it.crashThrice({bad, common});
    CHECK(it[0].takeNewlyRefused(it.now()) == Traits {bad, common});
    it.exchange();
    CHECK(it[1].takeNewlyRefused(it.now()) == Traits {bad, common});
    it.advance(10ms);
    it[1].requestCompleted({common, other}, it.now());
    CHECK_FALSE(it.isRefused(common, 1));
    CHECK(it.isRefused(common, 0));
    it.exchange();
    CHECK_FALSE(it.isRefused(common, 0));
    CHECK(it.isRefused(bad, 0));
    CHECK(it[0].takeNewlyCleared(it.now()) == Traits {common});
    CHECK(it[0].takeNewlyCleared(it.now()).empty());
    CHECK(it[0].mayRetry({common}, it.now()));
    it.advance(10ms);
    it.crash({common}, 7);
    CHECK_FALSE(it.isRefused(common, 0));
}

TEST_CASE("a peer that missed a completion learns of it when it reports the crashes")
{
    Gateways it(2);
    it.crashThrice({bad});
    it.exchange();
    it.advance(10ms);
    it[1].requestCompleted({bad}, it.now());
    CHECK(it[1].reportIfDue(it.now())->sound.size() == 1); // lost
    it.advance(10s);
    CHECK_FALSE(it[1].reportIfDue(it.now()));
    CHECK(it.isRefused(bad, 0));
    it.exchange(); // the other one reports the crashes first
    CHECK_FALSE(it.isRefused(bad, 0));
    CHECK_FALSE(it.isRefused(bad, 1));
    it.advance(4s);
    it.exchange();
    CHECK_FALSE(it[0].reportIfDue(it.now()));
}

TEST_CASE("a completion is remembered only for traits with crashes")
{
    Gateways it;
    it[0].requestCompleted({other}, it.now());
    CHECK(it[0].isEmpty());
    it.crash({bad}, 1);
    it[0].requestCompleted({other}, it.now());
    const auto report = it[0].reportIfDue(it.now());
    REQUIRE(report);
    CHECK(report->sound.empty());
}

TEST_CASE("a completion that is heard of before the crashes makes them void")
{
    Gateways it;
    it[0].addReport({{}, {{bad, 10ms}}}, it.now());
    it[0].addReport({{{bad, 1, 1s}, {bad, 2, 1s}, {bad, 3, 1s}}, {}}, it.now());
    CHECK_FALSE(it.isRefused(bad));
}

TEST_CASE("the trait with the most crashes explains those of the others")
{
    Gateways it;
    it.crashThrice({bad, common}, 1);
    CHECK(it.isRefused(common)); // not told apart yet
    CHECK(it[0].takeNewlyRefused(it.now()) == Traits {bad, common});
    it.crash({bad, other}, 4);
    CHECK(it.isRefused(bad));
    CHECK_FALSE(it.isRefused(common));
    CHECK(it[0].takeNewlyCleared(it.now()) == Traits {common});
    it.crash({bad}, 8);
    it.crash({bad}, 9);
    it.crash({common, other}, 5);
    it.crash({common, other}, 6);
    CHECK_FALSE(it.isRefused(common));
    CHECK_FALSE(it[0].mayRetry({common}, it.now()));
    it.crash({common}, 7);
    CHECK(it.isRefused(common)); // a culprit of its own
    CHECK(it.isRefused(bad));
    CHECK_FALSE(it.isRefused(other));
}

TEST_CASE("of traits with equally many crashes the one with the lower value is the culprit")
{
    Gateways it;
    it.crash({2, 1}, 1);
    it.crash({1, 2}, 2);
    it.crash({1}, 3);
    it.crash({2}, 4);
    CHECK(it.isRefused(1));
    CHECK_FALSE(it.isRefused(2));
}

// Guards against refusing a prompt part that all requests share for five minutes when no other request ran meanwhile.
TEST_CASE("requests with at most half of the traits that can't be told apart are served after a second")
{
    Gateways it;
    it.crashThrice({bad, common, other});
    const auto isRefused = [&](const Traits &traits) { return it[0].refusedFor(traits, it.now()).has_value(); };
    it.advance(999ms);
    CHECK(isRefused({common}));
    it.advance(1ms);
    CHECK_FALSE(isRefused({common, common, 7}));
    CHECK(isRefused({common, other}));
    CHECK(isRefused({bad, common, other}));
    CHECK(it[0].refusedCount(it.now()) == 3);
    CHECK_FALSE(it[0].mayRetry({common}, it.now()));

    SUBCASE("a completion shows that the trait is sound")
    {
        it[0].requestCompleted({common}, it.now());
        CHECK_FALSE(isRefused({common}));
        CHECK(isRefused({common, bad, other}));
        CHECK_FALSE(isRefused({common, other}));
        it[0].requestCompleted({common, other}, it.now());
        CHECK(isRefused({bad}));
        CHECK(it[0].refusedCount(it.now()) == 1);
    }
    SUBCASE("a crash shows that the others are")
    {
        it.crash({bad, 7}, 4);
        CHECK(isRefused({bad}));
        CHECK_FALSE(isRefused({common, other}));
        CHECK(it[0].refusedCount(it.now()) == 1);
    }
    SUBCASE("nothing more is known when a crash has all of them")
    {
        it.crash({bad, common, other}, 4);
        CHECK(isRefused({common}));
    }
}

TEST_CASE("a request is not retried after two unexplained crashes of a trait, confirmed or not")
{
    Gateways it;
    it[0].crashObserved({bad, common}, 1, it.now());
    CHECK(it[0].mayRetry({bad, common}, it.now()));
    it[0].crashObserved({bad, common}, 2, it.now());
    CHECK_FALSE(it[0].mayRetry({other, bad}, it.now()));
    it.advance(10ms);
    it[0].requestCompleted({common}, it.now());
    CHECK(it[0].mayRetry({other, common}, it.now()));
    it.advance(10ms);
    it.crash({bad}, 3);
    it.advance(300ms);
    it[0].crashObserved({bad, common}, 4, it.now());
    it[0].crashObserved({bad, common}, 5, it.now());
    CHECK_FALSE(it[0].mayRetry({bad}, it.now()));
    CHECK(it[0].mayRetry({common}, it.now())); // explained
}

TEST_CASE("after a refusal one more crash within an hour refuses the trait again")
{
    Gateways it;
    it.crashThrice({bad});
    CHECK(it.isRefused(bad));
    for (unsigned n = 0; n < 60; ++n) {
        it.advance(5s);
    }
    CHECK_FALSE(it.isRefused(bad));
    const auto report = it[0].reportIfDue(it.now());
    REQUIRE(report);
    CHECK(report->crashes.size() == 2);

    SUBCASE("within the hour")
    {
        it.advance(59min);
        CHECK_FALSE(it.isRefused(bad));
        it.crash({bad}, 4);
        CHECK(it.isRefused(bad));
        CHECK(it[0].takeNewlyRefused(it.now()) == Traits {bad, bad});
        it.advance(4min);
        CHECK(it.isRefused(bad));
        it.advance(1min);
        CHECK_FALSE(it.isRefused(bad));
    }
    SUBCASE("at a gateway that has been started meanwhile")
    {
        Gateways restarted;
        restarted[0].addReport(*report, restarted.now());
        restarted.advance(10min);
        CHECK_FALSE(restarted.isRefused(bad));
        restarted.crash({bad}, 4);
        CHECK(restarted.isRefused(bad));
    }
    SUBCASE("not later")
    {
        it.advance(1h);
        CHECK(it[0].isEmpty());
        it.crash({bad}, 4);
        CHECK_FALSE(it.isRefused(bad));
    }
}

TEST_CASE("crashes of traits that were never refused are forgotten after a minute")
{
    Gateways it;
    it.crash({bad}, 1);
    it.crash({bad}, 2);
    it.advance(59s);
    CHECK_FALSE(it[0].isEmpty());
    it.advance(1s);
    CHECK(it[0].isEmpty());
    it.crash({bad}, 3);
    CHECK_FALSE(it.isRefused(bad));
}

TEST_CASE("a trait whose refusal was an error is forgotten like one that was never refused")
{
    Gateways it;
    it.crashThrice({bad, common});
    CHECK(it[0].takeNewlyRefused(it.now()).size() == 2);
    it.crash({bad}, 4);
    CHECK(it[0].takeNewlyCleared(it.now()) == Traits {common});
    it.advance(60s);
    const auto report = it[0].reportIfDue(it.now());
    REQUIRE(report);
    for (const auto &crash : report->crashes) {
        CHECK(crash.trait == bad);
    }
    it.advance(4min + 1s); // the refusal of the other trait is over
    it.crash({common}, 5);
    CHECK_FALSE(it.isRefused(common));
}

TEST_CASE("completions are forgotten, too")
{
    Gateways it;
    it.crash({bad}, 1);
    it.advance(10ms);
    it[0].requestCompleted({bad}, it.now());
    it.advance(7min);
    CHECK(it[0].isEmpty());
    it[0].addReport({{}, {{bad, 10ms}}}, it.now());
    CHECK_FALSE(it[0].isEmpty());
    it.advance(7min);
    CHECK(it[0].isEmpty());
}

TEST_CASE("the same observation from several gateways counts once, with the earliest time")
{
    Gateways it;
    it[0].addReport({{{bad, 1, 100ms}, {bad, 2, 100ms}, {bad, 3, 100ms}}, {}}, it.now());
    it[0].addReport({{{bad, 1, 0ms}, {bad, 2, 250ms}, {bad, 3, 0ms}}, {}}, it.now());
    it[0].crashObserved({bad}, 1, it.now());
    CHECK_FALSE(it.isRefused(bad));
    it.advance(199ms);
    CHECK_FALSE(it.isRefused(bad));
    it.advance(1ms);
    CHECK(it[0].refusedFor({bad}, it.now()) == Duration(5min - 300ms));
    it[0].addReport({{{bad, 1, 0ms}}, {}}, it.now());
    CHECK(it[0].refusedFor({bad}, it.now()) == Duration(5min - 300ms));
}

TEST_CASE("what a gateway reports about a confirmed crash counts at once at the others")
{
    Gateways it(2);
    it.crashThrice({bad});
    it.exchange();
    CHECK(it.isRefused(bad, 1));
    CHECK(it[1].takeNewlyRefused(it.now()) == Traits {bad});
}

TEST_CASE("reports are due after an observation and then once a second")
{
    Gateways it(2);
    CHECK_FALSE(it[0].reportIfDue(it.now()));
    it[0].crashObserved({bad}, 1, it.now());
    const auto report = it[0].reportIfDue(it.now());
    REQUIRE(report);
    CHECK(report->crashes == std::vector<CrashObservation> {{bad, 1, 0ms}});
    CHECK_FALSE(it[0].reportIfDue(it.now()));
    it.advance(999ms);
    CHECK_FALSE(it[0].reportIfDue(it.now()));
    it.advance(1ms);
    CHECK(it[0].reportIfDue(it.now())->crashes == std::vector<CrashObservation> {{bad, 1, 1s}});
    it[0].engineRefusedConnection(1, it.now());
    CHECK(it[0].reportIfDue(it.now()));
    it[0].engineRefusedConnection(1, it.now());
    CHECK_FALSE(it[0].reportIfDue(it.now()));
    it[0].requestCompleted({bad}, it.now());
    CHECK(it[0].reportIfDue(it.now()) == CrashReport {{}, {{bad, 0ms}}});
    it.advance(4s);
    CHECK_FALSE(it[0].reportIfDue(it.now()));
}

TEST_CASE("reports hold a limited number of observations, of refused traits first")
{
    Gateways it;
    for (EngineRun run = 1; run <= 6; ++run) {
        it.advance(1ms);
        it.crash({bad}, run);
    }
    it.advance(1s);
    for (RequestTrait trait = 100; trait < 300; ++trait) {
        it.crash({trait}, trait);
    }
    const auto report = it[0].reportIfDue(it.now());
    REQUIRE(report);
    REQUIRE(report->crashes.size() == 64);
    for (std::size_t n = 0; n < 4; ++n) {
        CHECK(report->crashes[n].trait == bad);
        CHECK(report->crashes[n].run == 6 - n);
        CHECK(report->crashes[n].isOfRefused);
    }
    CHECK(report->crashes[4].trait != bad);
    Gateways restarted;
    restarted[0].addReport(*report, restarted.now());
    CHECK(restarted.isRefused(bad));
    it.advance(1ms);
    for (RequestTrait trait = 100; trait < 300; ++trait) {
        it[0].requestCompleted({trait}, it.now());
    }
    CHECK(it[0].reportIfDue(it.now())->sound.size() == 64);
}

TEST_CASE("the number of observations is limited; those of refused traits are kept")
{
    Gateways it;
    it.crashThrice({bad});
    CHECK(it[0].takeNewlyRefused(it.now()) == Traits {bad});
    it.advance(1ms);
    Traits traits;
    for (RequestTrait trait = 1000; trait < 1000 + CrashSuspects::maxObservations; ++trait) {
        traits.push_back(trait);
    }
    it.crash(traits, 10);
    CHECK(it.isRefused(bad));
    it.advance(1ms);
    it.crash({2}, 11);
    it.crash({2}, 12);
    CHECK_FALSE(it[0].mayRetry({2}, it.now()));
    CHECK(it.isRefused(bad));
}

TEST_CASE("absurd reports are ignored")
{
    Gateways it;
    it[0].addReport({{{bad, 1, Duration::max()}, {bad, 2, 2h, false, true, true}}, {{bad, Duration::max()}}}, it.now());
    CHECK(it[0].isEmpty());
    it[0].addReport({{{bad, 1, Duration::min()}}, {}}, it.now());
    CHECK_FALSE(it.isRefused(bad));
    it.advance(60s);
    CHECK(it[0].isEmpty());
}
