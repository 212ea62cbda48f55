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

private:
    void respond(PageCallback done)
    {
        if (responses.empty()) {
            return;
        }
        boost::asio::post(m_io, [this, done = std::move(done), page = responses.front()] {
            m_clock.advance(1s); // duration of the call
            done(page);
        });
        responses.pop_front();
    }

    boost::asio::io_context &m_io;
    VirtualClock &m_clock;
};

class Recorder : public TableFeedHandler
{
public:
    void rowsListed(const std::string & /*table*/, const std::vector<TableRow> &rows) override
    {
        events.push_back("listed " + std::to_string(rows.size()));
    }
    void rowsChanged(const std::string & /*table*/, const std::vector<TableRow> &rows) override
    {
        events.push_back("changed " + std::to_string(rows.size()));
    }
    void upToDate(const std::string & /*table*/, TimePoint startedAt) override
    {
        proofTimes.push_back(startedAt);
    }
    void storeAnswered(const std::string & /*table*/) override
    {
    }
    void storeFailed(const std::string & /*table*/, const Error & /*error*/) override
    {
        events.emplace_back("failed");
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
        feed = std::make_unique<TableFeed>(io, clock, std::move(owned), "t", 800ms, 300ms, recorder);
    }

    void run()
    {
        feed->start();
        io.run_for(1s);
    }

    boost::asio::io_context io {1};
    VirtualClock clock;
    Recorder recorder;
    ScriptedStore *store = nullptr;
    std::unique_ptr<TableFeed> feed;
};

const TableRow row {"k", "v", 5};

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
