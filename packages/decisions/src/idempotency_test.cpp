#include "idempotency.h"

#include <doctest/doctest.h>

using namespace monsoonward;
using namespace std::chrono_literals;

namespace
{

/// Records the results and queries of IdempotencyRows. Its entry has no requests in progress.
class RecordingListener : public IdempotencyListener
{
public:
    void onRowAcquired(const RequestId &id, const std::string & /*rowKey*/) override
    {
        acquired.push_back(id);
    }
    void onRowRefused(const RequestId & /*id*/, const std::string & /*rowKey*/, const Refusal &refusal) override
    {
        refused.push_back(refusal);
    }
    bool queryEntry(const ClaimQuery &query) override
    {
        queried.push_back(query);
        return true;
    }
    bool hasRequest(const RequestId & /*id*/) const override
    {
        return false;
    }

    std::vector<RequestId> acquired;
    std::vector<Refusal> refused;
    std::vector<ClaimQuery> queried;
};

/// The idempotency rows of one entry that has read the epoch.
struct Fixture
{
    Fixture()
    {
        idempotencyRows.tick();
        table.deliver();
    }
    static RequestId id(std::uint64_t n)
    {
        return {{1, 1}, n};
    }
    IdempotencyRow row(const std::string &key) const
    {
        return *decodeIdempotencyRow(table.rows().at(key).value);
    }
    void writeHeldRow(const std::string &key, const RequestId &holder)
    {
        table.write({{key, encode({holder, HostName {"other"}, IdempotencyRowState::Held, 0}), std::nullopt}},
                    [](const Result<void> &) {});
        table.deliver();
    }

    VirtualClock clock;
    FakeTable table;
    RecordingListener listener;
    NullEventLog events;
    IdempotencyRows idempotencyRows {{HostName {"entry"}, {1, 1}}, 1s, clock, table, listener, events};
};

} // namespace

TEST_CASE("rows are written in batches, and a row that is held by another request doesn't block the others")
{
    Fixture fixture;
    fixture.writeHeldRow("claim/key/13", {{2, 2}, 1});
    const auto before = fixture.table.writeCalls();
    for (std::uint64_t n = 0; n < 200; ++n) {
        fixture.idempotencyRows.acquire(Fixture::id(n), "claim/key/" + std::to_string(n));
    }
    fixture.table.deliver();
    CHECK(fixture.listener.acquired.size() == 199);
    CHECK(fixture.listener.queried.size() == 1);
    CHECK(fixture.table.writeCalls() - before <= 8);
}

TEST_CASE("a late release or completion doesn't change a row that another request holds")
{
    Fixture fixture;
    fixture.writeHeldRow("claim/key/a", {{2, 2}, 1});
    fixture.idempotencyRows.onEnded(Fixture::id(1), "claim/key/a", Verdict::NotRun);
    fixture.table.deliver();
    fixture.idempotencyRows.onEnded(Fixture::id(2), "claim/key/a", Verdict::Completed);
    fixture.table.deliver();
    CHECK(fixture.row("claim/key/a").state == IdempotencyRowState::Held);
    CHECK(fixture.row("claim/key/a").holder == RequestId {{2, 2}, 1});
    CHECK(fixture.idempotencyRows.idle());
}

TEST_CASE("a row is taken over only if its holder's entry replies that the holder did not run")
{
    for (const auto verdict : {Verdict::NotRun, Verdict::MayHaveRun}) {
        Fixture fixture;
        fixture.writeHeldRow("claim/key/a", {{2, 2}, 1});
        fixture.idempotencyRows.acquire(Fixture::id(1), "claim/key/a");
        fixture.table.deliver();
        REQUIRE(fixture.listener.queried.size() == 1);
        fixture.idempotencyRows.onReply({{{2, 2}, 1}, fixture.listener.queried[0].sequence, verdict});
        fixture.table.deliver();
        CHECK(fixture.listener.acquired.size() == (verdict == Verdict::NotRun ? 1 : 0));
    }
    Fixture fixture;
    fixture.writeHeldRow("claim/key/a", {{2, 2}, 1});
    fixture.idempotencyRows.acquire(Fixture::id(1), "claim/key/a");
    fixture.table.deliver();
    fixture.clock.advance(1s);
    fixture.idempotencyRows.tick();
    REQUIRE(fixture.listener.refused.size() == 1);
    CHECK(fixture.listener.refused[0].verdict == Verdict::MayHaveRun);
}

TEST_CASE("the row of a request that ends while the row is being written is released")
{
    Fixture fixture;
    fixture.idempotencyRows.acquire(Fixture::id(1), "claim/key/a");
    fixture.idempotencyRows.onEnded(Fixture::id(1), "claim/key/a", Verdict::NotRun);
    CHECK(fixture.idempotencyRows.answer({Fixture::id(1), 5}).verdict == Verdict::NotRun);
    CHECK(fixture.idempotencyRows.answer({Fixture::id(2), 5}).verdict == Verdict::MayHaveRun);
    fixture.table.deliver();
    CHECK(fixture.listener.acquired.empty());
    CHECK(fixture.row("claim/key/a").state == IdempotencyRowState::Released);
}

TEST_CASE("row keys of different customers never collide, and malformed rows are not decoded")
{
    CHECK(idempotencyRowKey(CustomerName {"a"}, "b/c") != idempotencyRowKey(CustomerName {"a/b"}, "c"));
    CHECK_FALSE(decodeIdempotencyRow("held x 1 host"));
    CHECK_FALSE(decodeIdempotencyRow(""));
}

TEST_CASE("a row is kept for at least 24 hours and then deleted")
{
    Fixture fixture;
    fixture.idempotencyRows.acquire(Fixture::id(1), "claim/key/a");
    fixture.table.deliver();
    const auto begin = fixture.clock.now();
    while (fixture.table.rows().count("claim/key/a") != 0 && fixture.clock.now() - begin < 40h) {
        fixture.clock.advance(1min);
        fixture.idempotencyRows.tick();
        fixture.table.deliver();
    }
    CHECK(fixture.clock.now() - begin >= 24h);
    CHECK(IdempotencyRowExpiry::rowLifetime() >= 24h);
    CHECK(fixture.clock.now() - begin < 30h);
}
