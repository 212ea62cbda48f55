#include "gatewaytesting.h"
#include "storewatch.h"

#include <doctest/doctest.h>

#include <boost/asio/post.hpp>

#include <deque>

using namespace monsoonward;
using namespace std::chrono_literals;

namespace
{

/// Responds to reads of the configuration in the scripted order. Other calls never complete.
class ScriptedStore : public RowStore
{
public:
    ScriptedStore(boost::asio::io_context &io, std::deque<RowPage> &pages)
        : m_io(io)
        , m_pages(pages)
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
    void follow(const std::string &table, std::uint64_t /*version*/, Duration /*wait*/, PageCallback done) override
    {
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
        if (table != "configuration" || m_pages.empty()) {
            return;
        }
        boost::asio::post(m_io, [done = std::move(done), page = m_pages.front()] { done(page); });
        m_pages.pop_front();
    }

    boost::asio::io_context &m_io;
    std::deque<RowPage> &m_pages;
};

class ScriptedAdapter : public TestAdapter
{
public:
    std::unique_ptr<RowStore> makeRowStore(boost::asio::io_context &io, const Address & /*store*/) const override
    {
        return std::make_unique<ScriptedStore>(io, pages);
    }
    mutable std::deque<RowPage> pages; // the stores that it makes take them
};

RowPage pageOf(StoreEra era, std::int64_t storeTimeMs)
{
    RowPage page {{}, 1, false};
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

    /// The gateway has just started and read that there is another one.
    void startBeside(const HostName &peer)
    {
        core.peerSurvey = PeerSurvey(HostName("g"));
        core.peerSurvey.membersListed({peer}, clock.now());
        core.fleet.setMembers({peer}, clock.now());
        adapter.pages = {pageOf(1, 5000)};
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
    adapter.pages = {pageOf(1, 5000)};
    const auto startedAt = clock.now();
    watch.start();
    run();
    CHECK(reports == 1);
    CHECK(core.knowledge == StoreKnowledge {1, revision, 5000, 0, 0});
    clock.advance(3s);
    watch.learnFromPeer({1, revision, 7000, 0, 0}); // read 2 s after the store showed 5000
    REQUIRE(core.freshness.age(clock.now()));
    CHECK(*core.freshness.age(clock.now()) >= 1s);
    CHECK(*core.freshness.age(clock.now()) < 1010ms); // the clocks may have drifted apart
    CHECK(clock.now() - *core.freshness.age(clock.now()) > startedAt);
}

TEST_CASE_FIXTURE(Fixture, "proofs of another revision, of another era and from the future are not taken over")
{
    adapter.pages = {pageOf(1, 5000)};
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
    adapter.pages = {pageOf(1, 50'000), pageOf(2, 100)};
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
