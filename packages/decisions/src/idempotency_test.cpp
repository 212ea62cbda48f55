#include "idempotency.h"

#include <doctest/doctest.h>

using namespace monsoonward;
using namespace std::chrono_literals;

namespace
{

class Answers : public IdempotencyListener
{
public:
    void rowCertain(const RequestId &id, const std::string & /*rowKey*/) override
    {
        certain.push_back(id);
    }
    void rowRefused(const RequestId & /*id*/, const std::string & /*rowKey*/, const Refusal &refusal) override
    {
        refused.push_back(refusal);
    }
    bool askEntry(const ClaimQuery &query) override
    {
        asked.push_back(query);
        return true;
    }
    bool knows(const RequestId & /*id*/) const override
    {
        return false;
    }

    std::vector<RequestId> certain;
    std::vector<Refusal> refused;
    std::vector<ClaimQuery> asked;
};

struct Bench
{
    Bench()
    {
        claims.tick();
        table.deliver();
    }
    static RequestId id(std::uint64_t n)
    {
        return {{1, 1}, n};
    }
    ClaimRow row(const std::string &key) const
    {
        return *decodeClaimRow(table.rows().at(key).value);
    }
    void hold(const std::string &key, const RequestId &holder)
    {
        table.write({{key, encode({holder, HostName {"other"}, ClaimRowState::Held, 0}), std::nullopt}},
                    [](const Result<void> &) {});
        table.deliver();
    }

    VirtualClock clock;
    FakeTable table;
    Answers answers;
    NullEventLog events;
    IdempotencyClaims claims {{HostName {"entry"}, {1, 1}}, 1s, clock, table, answers, events};
};

} // namespace

TEST_CASE("many rows go in one write, and one row of another doesn't harm the rest")
{
    Bench bench;
    bench.hold("claim/key/13", {{2, 2}, 1});
    const auto before = bench.table.writeCalls();
    for (std::uint64_t n = 0; n < 200; ++n) {
        bench.claims.take(Bench::id(n), "claim/key/" + std::to_string(n));
    }
    bench.table.deliver();
    CHECK(bench.answers.certain.size() == 199);
    CHECK(bench.answers.asked.size() == 1);
    CHECK(bench.table.writeCalls() - before <= 8);
}

TEST_CASE("a late release or completion leaves another's row alone")
{
    Bench bench;
    bench.hold("claim/key/a", {{2, 2}, 1});
    bench.claims.ended(Bench::id(1), "claim/key/a", Verdict::NotRun);
    bench.table.deliver();
    bench.claims.ended(Bench::id(2), "claim/key/a", Verdict::Completed);
    bench.table.deliver();
    CHECK(bench.row("claim/key/a").state == ClaimRowState::Held);
    CHECK(bench.row("claim/key/a").holder == RequestId {{2, 2}, 1});
    CHECK(bench.claims.idle());
}

TEST_CASE("a row is taken over only by the holder's word")
{
    for (const auto verdict : {Verdict::NotRun, Verdict::MayHaveRun}) {
        Bench bench;
        bench.hold("claim/key/a", {{2, 2}, 1});
        bench.claims.take(Bench::id(1), "claim/key/a");
        bench.table.deliver();
        REQUIRE(bench.answers.asked.size() == 1);
        bench.claims.reply({{{2, 2}, 1}, bench.answers.asked[0].sequence, verdict});
        bench.table.deliver();
        CHECK(bench.answers.certain.size() == (verdict == Verdict::NotRun ? 1 : 0));
    }
    Bench bench;
    bench.hold("claim/key/a", {{2, 2}, 1});
    bench.claims.take(Bench::id(1), "claim/key/a");
    bench.table.deliver();
    bench.clock.advance(1s);
    bench.claims.tick();
    REQUIRE(bench.answers.refused.size() == 1);
    CHECK(bench.answers.refused[0].verdict == Verdict::MayHaveRun);
}

TEST_CASE("a request that ends while its row is being written has the row released")
{
    Bench bench;
    bench.claims.take(Bench::id(1), "claim/key/a");
    bench.claims.ended(Bench::id(1), "claim/key/a", Verdict::NotRun);
    CHECK(bench.claims.answer({Bench::id(1), 5}).verdict == Verdict::NotRun);
    CHECK(bench.claims.answer({Bench::id(2), 5}).verdict == Verdict::MayHaveRun);
    bench.table.deliver();
    CHECK(bench.answers.certain.empty());
    CHECK(bench.row("claim/key/a").state == ClaimRowState::Released);
}

TEST_CASE("customers can't reach each other's rows")
{
    CHECK(claimRowKey(CustomerName {"a"}, "b/c") != claimRowKey(CustomerName {"a/b"}, "c"));
    CHECK_FALSE(decodeClaimRow("held x 1 host"));
    CHECK_FALSE(decodeClaimRow(""));
}

TEST_CASE("rows expire by epochs that each last their length on some entry's clock")
{
    Bench bench;
    bench.claims.take(Bench::id(1), "claim/key/a");
    bench.table.deliver();
    const auto begin = bench.clock.now();
    while (bench.table.rows().count("claim/key/a") != 0 && bench.clock.now() - begin < 40h) {
        bench.clock.advance(1min);
        bench.claims.tick();
        bench.table.deliver();
    }
    CHECK(bench.clock.now() - begin >= 24h);
    CHECK(ClaimExpiry::claimLifetime() >= 24h);
    CHECK(bench.clock.now() - begin < 30h);
}
