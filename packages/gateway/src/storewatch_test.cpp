#include "gatewaytesting.h"
#include "storewatch.h"

#include <doctest/doctest.h>

#include <boost/asio/post.hpp>

#include <deque>

using namespace monsoonward;
using namespace std::chrono_literals;

namespace
{

using PagesByTable = std::map<std::string, std::deque<RowPage>>;

/// Responds to reads of a table in the scripted order. Other calls never complete.
class ScriptedStore : public RowStore
{
public:
    ScriptedStore(boost::asio::io_context &io, PagesByTable &pages, std::vector<std::string> &polls)
        : m_io(io)
        , m_pages(pages)
        , m_polls(polls)
    {
    }
    bool isReceiving() const override
    {
        return false;
    }
    void cancel() override
    {
    }
    void list(const std::string &table, const std::string & /*from*/, PageCallback done) override
    {
        respond(table, std::move(done));
    }
    void follow(const std::string &table, std::uint64_t /*version*/, Duration wait, PageCallback done) override
    {
        if (wait == Duration::zero()) {
            m_polls.push_back(table);
        }
        respond(table, std::move(done));
    }
    void write(const std::string & /*table*/,
               const TableRow & /*row*/,
               std::optional<std::uint64_t> /*expectedVersion*/,
               WriteCallback /*done*/) override
    {
    }

private:
    void respond(const std::string &table, PageCallback done)
    {
        auto &pages = m_pages[table];
        if (pages.empty()) {
            return;
        }
        boost::asio::post(m_io, [done = std::move(done), page = pages.front()] { done(page); });
        pages.pop_front();
    }

    boost::asio::io_context &m_io;
    PagesByTable &m_pages;
    std::vector<std::string> &m_polls;
};

class ScriptedAdapter : public TestAdapter
{
public:
    std::unique_ptr<RowStore> makeRowStore(boost::asio::io_context &io, const Address & /*store*/) const override
    {
        return std::make_unique<ScriptedStore>(io, pages, polls);
    }
    mutable PagesByTable pages; // the stores that it makes take them
    mutable std::vector<std::string> polls; // tables of the calls that don't wait for changes
};

RowPage pageOf(StoreEra era, std::int64_t storeTimeMs, std::uint64_t version = 1)
{
    RowPage page {{}, version, false};
    page.era = era;
    page.storeTimeMs = storeTimeMs;
    return page;
}

/// A StoreWatch whose gateway holds revision 7 of the configuration, as the store does.
class Fixture : public TableFeedHandler
{
public:
    Fixture()
    {
        ServingConfiguration configuration;
        configuration.revision = revision;
        core.activeConfiguration =
            std::make_shared<const ActiveConfiguration>(std::make_shared<const ServingConfiguration>(configuration), 1);
        core.settings.storePollTime = 10s;
        core.peerSurvey.membersListed({}, clock.now());
    }

    /// The gateway has started, and waits for changes.
    void start()
    {
        watch.start();
        run();
        adapter.polls.clear();
    }

    std::ptrdiff_t enginePolls() const
    {
        return std::count(adapter.polls.begin(), adapter.polls.end(), "engines");
    }

    /// The gateway has just started and read that there is another one.
    void startBeside(const HostName &peer)
    {
        core.peerSurvey = PeerSurvey(HostName("g"));
        core.peerSurvey.membersListed({peer}, clock.now());
        core.fleet.setMembers({peer}, clock.now());
        adapter.pages["configuration"] = {pageOf(1, 5000)};
        watch.start();
        run();
    }

    void hear(const HostName &peer, Revision held)
    {
        LoadReport report;
        report.host = peer;
        report.incarnation = 1;
        report.sequenceNumber = ++sequenceNumber;
        report.knowledge = {1, held, 4000, 0, 0};
        core.fleet.addReport(report, clock.now());
        watch.learnFromPeer(report.knowledge);
    }

    void rowsListed(const std::string & /*table*/, const std::vector<TableRow> & /*rows*/, ListCause /*cause*/) override
    {
        watch.configurationRead(revision);
    }
    void rowsChanged(const std::string & /*table*/, const std::vector<TableRow> & /*rows*/) override
    {
    }
    void upToDate(const std::string &table, const ReadTime &read) override
    {
        watch.upToDate(table, read);
    }
    void storeAnswered(const std::string & /*table*/) override
    {
    }
    void storeFailed(const std::string & /*table*/, const Error & /*error*/) override
    {
    }
    void storeRestored(StoreEra /*era*/) override
    {
        watch.storeRestored();
    }
    void eraMalformed(const std::string & /*table*/) override
    {
    }

    /// Runs what the store answers at once.
    void run()
    {
        io.restart();
        io.run_for(20ms);
    }

    static constexpr Revision revision = 7;
    boost::asio::io_context io {1};
    VirtualClock clock;
    SeededRandom random {1};
    ScriptedAdapter adapter;
    GatewayMetrics metrics;
    StructuredLog log {LogLimits {"error", 1000, 1000}, HostName("g"), 1};
    GatewayCore core {io, clock, GatewaySettings(), adapter, log, metrics};
    unsigned reports = 0;
    std::uint64_t sequenceNumber = 0;
    StoreWatch watch {core, *this, random, [this] { ++reports; }};
};

} // namespace

TEST_CASE_FIXTURE(Fixture, "a proof of another gateway counts from the time at which the store gave it")
{
    adapter.pages["configuration"] = {pageOf(1, 5000)};
    const auto startedAt = clock.now();
    watch.start();
    run();
    CHECK(reports == 1);
    CHECK(core.knowledge == StoreKnowledge {1, revision, 5000, 0, 0, 1});
    clock.advance(3s);
    watch.learnFromPeer({1, revision, 7000, 0, 0}); // read 2 s after the store showed 5000
    REQUIRE(core.freshness.age(clock.now()));
    CHECK(*core.freshness.age(clock.now()) >= 1s);
    CHECK(*core.freshness.age(clock.now()) < 1010ms); // the clocks may have drifted apart
    CHECK(clock.now() - *core.freshness.age(clock.now()) > startedAt);
}

TEST_CASE_FIXTURE(Fixture, "proofs of another revision, of another era and from the future are not taken over")
{
    adapter.pages["configuration"] = {pageOf(1, 5000)};
    watch.start();
    run();
    clock.advance(3s);
    watch.learnFromPeer({1, revision + 1, 7000, 0, 0});
    watch.learnFromPeer({2, revision, 7000, 0, 0});
    watch.learnFromPeer({1, revision, 60'000, 0, 0});
    CHECK(core.freshness.age(clock.now()) == 3s);
    CHECK(core.knowledge.provenAtMs == 5000);
}

TEST_CASE_FIXTURE(Fixture, "after a restore, a proof of the former era is not mixed with the store's new clock")
{
    adapter.pages["configuration"] = {pageOf(1, 50'000), pageOf(2, 100)};
    watch.start();
    run(); // the second answer tells of the restore; the table is listed anew, and that call never ends
    watch.learnFromPeer({1, revision, 51'000, 0, 0});
    CHECK(core.knowledge.era == 2);
    CHECK(core.knowledge.provenAtMs == 0);
}

// After a restore of the store, a gateway that had started served a key that its peers refused.
TEST_CASE_FIXTURE(Fixture, "a gateway that starts has no proof before its peer has said what it holds")
{
    const HostName peer("p");
    const auto startedAt = clock.now();
    startBeside(peer);
    CHECK_FALSE(core.freshness.age(clock.now()));
    clock.advance(100ms);
    hear(peer, revision);
    CHECK(core.freshness.age(clock.now()) == clock.now() - startedAt); // the answer that came meanwhile counts
    CHECK(core.knowledge.revision == revision);
}

TEST_CASE_FIXTURE(Fixture, "a gateway that starts has no proof while its peer holds a higher revision, or held it last")
{
    const HostName peer("p");
    startBeside(peer);
    hear(peer, revision + 2);
    CHECK_FALSE(core.freshness.age(clock.now()));
    clock.advance(1min);
    core.fleet.expire(clock.now());
    watch.upToDate("configuration", {clock.now(), clock.now(), 1, 65'000});
    CHECK_FALSE(core.freshness.age(clock.now()));
}

TEST_CASE_FIXTURE(Fixture, "a gateway that hears nobody takes the store's word after a bounded time")
{
    startBeside(HostName("p"));
    clock.advance(PeerSurvey::answerTimeout - 1ms);
    watch.pollIfDue(clock.now());
    CHECK_FALSE(core.freshness.age(clock.now()));
    clock.advance(1ms);
    watch.pollIfDue(clock.now());
    CHECK(core.freshness.age(clock.now()) == PeerSurvey::answerTimeout);
}

// Answers about other tables were taken for a proof that the registrations were current.
TEST_CASE_FIXTURE(Fixture,
                  "an answer about another table proves registrations up to its version, and tells of newer ones")
{
    adapter.pages = {{"configuration", {pageOf(1, 5000, 8)}}, {"engines", {pageOf(1, 5000, 8)}}};
    start();
    clock.advance(1s);
    watch.upToDate("configuration", {clock.now(), clock.now(), 1, 6000, 8});
    CHECK(core.engines.readAsOf() == clock.now());
    clock.advance(1s);
    const auto provenAt = clock.now() - 1s;
    watch.upToDate("configuration", {clock.now(), clock.now(), 1, 7000, 9});
    watch.pollIfDue(clock.now());
    CHECK(core.engines.readAsOf() == provenAt);
    CHECK(enginePolls() == 0);
    clock.advance(EngineDirectory::maxLag);
    adapter.pages["engines"] = {pageOf(1, 7900, 9)};
    watch.pollIfDue(clock.now());
    run();
    CHECK(enginePolls() == 1);
    CHECK(core.engines.readAsOf() == clock.now());
}

// Each change of another table had every gateway of a large fleet read the registrations.
TEST_CASE_FIXTURE(Fixture, "versions at which other tables changed don't have the registrations read")
{
    adapter.pages = {{"configuration", {pageOf(1, 5000, 8)}}, {"engines", {pageOf(1, 5000, 8)}}};
    start();
    clock.advance(1s);
    watch.rowsRead("configuration", {{"k", "v", 9}, {"k", "v", 11}});
    watch.upToDate("configuration", {clock.now(), clock.now(), 1, 6000, 11});
    const auto provenAt = clock.now();
    CHECK(core.engines.readAsOf() != provenAt); // 10 isn't known
    clock.advance(100ms);
    watch.rowsRead("gateways", {{"g", std::nullopt, 10}});
    CHECK(core.engines.readAsOf() == provenAt);
    clock.advance(EngineDirectory::maxLag);
    watch.pollIfDue(clock.now());
    CHECK(enginePolls() == 0);
}

TEST_CASE_FIXTURE(Fixture, "the proof of another gateway tells of registrations too, unless it states no version")
{
    adapter.pages = {{"configuration", {pageOf(1, 5000, 8)}}, {"engines", {pageOf(1, 5000, 8)}}};
    start();
    const auto startedAt = clock.now();
    clock.advance(1s);
    watch.learnFromPeer({1, revision, 5500, 0, 0}); // of an earlier version of the program
    CHECK(core.engines.readAsOf() == startedAt);
    watch.learnFromPeer({1, revision, 6000, 0, 0, 8});
    CHECK(*core.engines.readAsOf() > startedAt + 900ms);
    CHECK(core.knowledge.provenVersion == 8);
    const auto readAsOf = core.engines.readAsOf();
    clock.advance(1s);
    watch.learnFromPeer({1, revision, 7000, 0, 0, 9});
    CHECK(core.engines.readAsOf() == readAsOf);
    clock.advance(EngineDirectory::maxLag);
    watch.pollIfDue(clock.now());
    CHECK(enginePolls() == 1);
}

TEST_CASE_FIXTURE(Fixture, "registrations that are wanted now are read as of then, or given up after a bounded time")
{
    adapter.pages["engines"] = {pageOf(1, 5000, 8)};
    start();
    clock.advance(1s);
    adapter.pages["engines"] = {pageOf(1, 6000, 8)};
    unsigned done = 0;
    const auto askedAt = clock.now();
    watch.readNow([&] { ++done; });
    watch.readNow([&] { ++done; });
    run();
    CHECK(done == 2);
    CHECK(core.engines.readAsOf() == askedAt);
    CHECK(enginePolls() == 1);
    watch.readNow([&] { ++done; }); // no answer comes
    run();
    CHECK(done == 2);
    io.restart();
    io.run_for(400ms);
    CHECK(done == 3);
}

TEST_CASE_FIXTURE(Fixture, "registrations that can't be read now are not waited for")
{
    watch.start(); // the whole table is being read
    unsigned done = 0;
    watch.readNow([&] { ++done; });
    run();
    CHECK(done == 1);
    CHECK_FALSE(core.engines.readAsOf());
}
