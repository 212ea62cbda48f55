#include "tablefeed.h"

#include <doctest/doctest.h>

#include <boost/asio/post.hpp>

#include <deque>

using namespace monsoonward;
using namespace std::chrono_literals;

namespace
{

/// Responds to calls in the scripted order. Further calls never complete.
class ScriptedStore : public RowStore
{
public:
    explicit ScriptedStore(boost::asio::io_context &io, VirtualClock &clock)
        : m_io(io)
        , m_clock(clock)
    {
    }
    void cancel() override
    {
        calls.emplace_back("cancel");
        ++m_callNumber;
    }
    bool isReceiving() const override
    {
        return isAnswerArriving;
    }
    void list(const std::string & /*table*/, const std::string &from, PageCallback done) override
    {
        calls.push_back("list " + from);
        respond(std::move(done));
    }
    void follow(const std::string & /*table*/, std::uint64_t version, Duration wait, PageCallback done) override
    {
        const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
        calls.push_back("follow " + std::to_string(version) + " " + std::to_string(ms));
        respond(std::move(done));
    }
    void write(const std::string & /*table*/,
               const TableRow & /*row*/,
               std::optional<std::uint64_t> /*expectedVersion*/,
               WriteCallback /*done*/) override
    {
    }

    std::deque<Result<RowPage>> responses;
    std::vector<std::string> calls;
    bool isAnswerArriving = false;

private:
    void respond(PageCallback done)
    {
        if (responses.empty()) {
            return;
        }
        boost::asio::post(m_io, [this, done = std::move(done), page = responses.front(), call = ++m_callNumber] {
            m_clock.advance(1s); // duration of the call
            if (call == m_callNumber) {
                done(page);
            }
        });
        responses.pop_front();
    }

    boost::asio::io_context &m_io;
    VirtualClock &m_clock;
    unsigned m_callNumber = 0;
};

class Recorder : public TableFeedHandler
{
public:
    void rowsListed(const std::string & /*table*/, const std::vector<TableRow> &rows, ListCause cause) override
    {
        events.push_back("listed " + std::to_string(rows.size())
                         + (cause == ListCause::StoreRestored ? " restored" : ""));
    }
    void rowsChanged(const std::string & /*table*/, const std::vector<TableRow> &rows) override
    {
        events.push_back("changed " + std::to_string(rows.size()));
    }
    void upToDate(const std::string & /*table*/, const ReadTime &read) override
    {
        proofTimes.push_back(read.startedAt);
    }
    void storeAnswered(const std::string & /*table*/) override
    {
    }
    void storeFailed(const std::string & /*table*/, const Error & /*error*/) override
    {
        events.emplace_back("failed");
    }
    void storeRestored(StoreEra era) override
    {
        events.push_back("era " + std::to_string(era));
    }
    void eraMalformed(const std::string & /*table*/) override
    {
        events.emplace_back("malformed era");
    }

    std::vector<std::string> events;
    std::vector<TimePoint> proofTimes;
};

struct Fixture
{
    Fixture()
    {
        auto owned = std::make_unique<ScriptedStore>(io, clock);
        store = owned.get();
        auto ownedProbe = std::make_unique<ScriptedStore>(io, clock);
        probe = ownedProbe.get();
        feed = std::make_unique<TableFeed>(
            io, clock, std::move(owned), std::move(ownedProbe), eras, "t", 800ms, 300ms, recorder);
    }

    void run()
    {
        feed->start();
        io.run_for(1s);
    }

    boost::asio::io_context io {1};
    VirtualClock clock;
    Recorder recorder;
    StoreEraTracker eras;
    ScriptedStore *store = nullptr;
    ScriptedStore *probe = nullptr;
    std::unique_ptr<TableFeed> feed;
};

const TableRow row {"k", "v", 5};

RowPage page(const std::vector<TableRow> &rows, std::uint64_t version, StoreEra era)
{
    RowPage it {rows, version, false};
    it.era = era;
    return it;
}

} // namespace

TEST_CASE_FIXTURE(Fixture, "a table is read page by page, then polled from the version of its first page")
{
    const auto beganAt = clock.now();
    store->responses = {RowPage {{row}, 7, true}, RowPage {{row}, 9, false}, RowPage {{}, 9, false}};
    run();
    CHECK(recorder.events == std::vector<std::string> {"listed 2"});
    CHECK(store->calls == std::vector<std::string> {"list ", "list k ", "follow 7 800", "follow 9 800"});
    // A proof is dated at the start of its call.
    CHECK(recorder.proofTimes == std::vector<TimePoint> {beganAt, beganAt + 2s});
}

TEST_CASE_FIXTURE(Fixture, "the table is read again if the store no longer has the history")
{
    store->responses = {RowPage {{row}, 7, false},
                        Error {ErrorCode::NotFound, "gone"},
                        RowPage {{}, 30, false},
                        RowPage {{}, 30, false}};
    run();
    CHECK(recorder.events == std::vector<std::string> {"listed 1", "listed 0"});
    CHECK(store->calls
          == std::vector<std::string> {"list ", "follow 7 800", "list ", "follow 30 800", "follow 30 800"});
}

TEST_CASE_FIXTURE(Fixture, "after a failure the next poll does not wait, and only a successful poll proves freshness")
{
    store->responses = {RowPage {{row}, 7, false},
                        Error {ErrorCode::Unavailable, "down"},
                        Error {ErrorCode::Unavailable, "down"},
                        RowPage {{row}, 8, false}};
    run();
    CHECK(recorder.events == std::vector<std::string> {"listed 1", "failed", "failed", "changed 1"});
    CHECK(store->calls
          == std::vector<std::string> {"list ", "follow 7 800", "follow 7 0", "follow 7 0", "follow 8 800"});
    CHECK(recorder.proofTimes.size() == 2);
}

TEST_CASE_FIXTURE(Fixture, "after a restore the table is read again, since versions have been given out anew")
{
    // Version 30 is another transaction than before the restore; a cursor kept at 40 would skip rows up to 40.
    store->responses = {page({row}, 40, 1), page({}, 40, 1), page({}, 30, 2), page({row, row}, 31, 2), page({}, 31, 2)};
    run();
    CHECK(recorder.events == std::vector<std::string> {"listed 1", "era 2", "listed 2 restored"});
    CHECK(store->calls
          == std::vector<std::string> {
              "list ", "follow 40 800", "follow 40 800", "list ", "follow 31 800", "follow 31 800"});
}

TEST_CASE_FIXTURE(Fixture, "a restore that shows as lost history is recognized as one")
{
    store->responses = {page({row}, 40, 1), Error {ErrorCode::NotFound, "gone"}, page({}, 30, 2)};
    run();
    CHECK(recorder.events == std::vector<std::string> {"listed 1", "era 2", "listed 0 restored"});
}

TEST_CASE_FIXTURE(Fixture, "an answer from before a restore that another feed has noticed is dropped")
{
    eras.observe(2, clock.now());
    store->responses = {page({row}, 40, 1), page({row}, 30, 2)};
    run();
    CHECK(recorder.events == std::vector<std::string> {"failed", "listed 1"});
}

TEST_CASE_FIXTURE(Fixture, "pages of two eras are not joined")
{
    auto first = page({row}, 40, 1);
    first.hasMore = true;
    store->responses = {first, page({row}, 30, 2), page({row, row}, 30, 2)};
    run();
    CHECK(recorder.events == std::vector<std::string> {"era 2", "listed 2 restored"});
    CHECK(store->calls == std::vector<std::string> {"list ", "list k ", "list ", "follow 30 800"});
}

TEST_CASE_FIXTURE(Fixture, "a malformed era is reported and changes nothing else")
{
    auto malformed = page({}, 41, 1);
    malformed.era.reset();
    malformed.isEraMalformed = true;
    store->responses = {page({row}, 40, 1), malformed, page({}, 41, 1)};
    run();
    CHECK(recorder.events == std::vector<std::string> {"listed 1", "malformed era"});
    CHECK(recorder.proofTimes.size() == 3);
}

TEST_CASE_FIXTURE(Fixture, "a poll beside the long poll proves that nothing has changed")
{
    store->responses = {RowPage {{row}, 7, false}};
    run();
    probe->responses = {RowPage {{}, 9, false}};
    const auto beganAt = clock.now();
    feed->pollNow();
    feed->pollNow(); // one at a time
    io.restart();
    io.run_for(100ms);
    CHECK(probe->calls == std::vector<std::string> {"follow 7 0"});
    CHECK(recorder.proofTimes.back() == beganAt);
    // A row deleted at version 9 before the table was listed must not count as missing here.
    CHECK(feed->newestRowVersion() == 5);
    CHECK(feed->readUpTo() == 9);
    CHECK(store->calls == std::vector<std::string> {"list ", "follow 7 800"});
}

TEST_CASE_FIXTURE(Fixture, "changes and failures found beside the long poll end it")
{
    store->responses = {RowPage {{row}, 7, false}};
    run();
    probe->responses = {RowPage {{row}, 9, false}};
    feed->pollNow();
    io.restart();
    io.run_for(500ms); // the delay after a change
    CHECK(recorder.events == std::vector<std::string> {"listed 1", "changed 1"});
    CHECK(store->calls == std::vector<std::string> {"list ", "follow 7 800", "cancel", "follow 9 800"});
    probe->responses = {Error {ErrorCode::Unknown, "silent"}};
    feed->pollNow();
    io.restart();
    io.run_for(100ms);
    CHECK(recorder.events.back() == "failed");
    CHECK(store->calls.back() == "follow 9 0");
}

// Each of the two polls cut off the other's answer, so that a long one was never read.
TEST_CASE_FIXTURE(Fixture, "a poll beside the long poll neither repeats nor ends an answer that is arriving")
{
    store->responses = {RowPage {{row}, 7, false}};
    run();
    probe->responses = {Error {ErrorCode::Unknown, "timed out"}};
    feed->pollNow();
    store->isAnswerArriving = true;
    io.restart();
    io.run_for(100ms);
    feed->pollNow();
    io.restart();
    io.run_for(100ms);
    CHECK(probe->calls == std::vector<std::string> {"follow 7 0"});
    CHECK(store->calls == std::vector<std::string> {"list ", "follow 7 800"});
    CHECK(recorder.events == std::vector<std::string> {"listed 1"});
}
