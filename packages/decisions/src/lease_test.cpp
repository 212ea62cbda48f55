#include "monsoonward/decisions/decisions.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace monsoonward;
using namespace std::chrono_literals;

namespace
{

/// Two daemons that want the same lease, and the gate at a target.
struct Bench
{
    /// Lets time pass; a daemon that stands still gets no ticks.
    void run(Duration length, bool aRuns = true, bool bRuns = true)
    {
        for (Duration passed {}; passed < length; passed += 100ms) {
            clock.advance(100ms);
            if (aRuns) {
                a.tick();
            }
            if (bRuns) {
                b.tick();
            }
            gate.tick();
            table.deliver();
            const bool both = a.fencingNumber() && b.fencingNumber();
            CHECK_FALSE(both);
        }
    }

    VirtualClock clock;
    FakeTable table;
    NullEventLog events;
    Lease a {"roles", {HostName {"a"}, {1, 1}}, clock, table, events};
    Lease b {"roles", {HostName {"b"}, {2, 2}}, clock, table, events};
    OrderGate gate {"roles", clock, table, events};
    FakeEngineOrders ignoring {false};
    FakeEngineOrders checking {true};
};

ErrorCode orderedBy(LeasedEngineOrders &orders)
{
    auto code = ErrorCode::Invalid;
    orders.give({EngineOrderKind::LoadModel, EngineName {"e"}, "model-2", 0}, [&](const Result<void> &result) {
        code = result ? ErrorCode::NotFound : result.error().code; // NotFound stands for success
    });
    return code;
}

} // namespace

TEST_CASE("one holder at a time; a holder that stood still acts on nothing after the lease lapsed")
{
    Bench bench;
    bench.a.acquire();
    bench.run(1s);
    REQUIRE(bench.a.fencingNumber());
    const auto old = *bench.a.fencingNumber();
    bench.b.acquire();
    bench.run(20s);
    CHECK(bench.a.fencingNumber());
    CHECK_FALSE(bench.b.fencingNumber());
    bench.run(6s, false);
    CHECK_FALSE(bench.a.fencingNumber()); // on its own clock, before it had a tick
    bench.run(10s, false);
    REQUIRE(bench.b.fencingNumber());
    CHECK(*bench.b.fencingNumber() > old);
    LeasedEngineOrders orders(bench.a, bench.ignoring);
    CHECK(orderedBy(orders) == ErrorCode::Denied);
    CHECK(bench.ignoring.done().empty());
}

TEST_CASE("an order already on its way under an old number is refused in front of engines of both kinds")
{
    Bench bench;
    bench.a.acquire();
    bench.run(1s);
    const EngineOrder late {EngineOrderKind::ChangeRole, EngineName {"e"}, "prefill", *bench.a.fencingNumber()};
    bench.b.acquire();
    bench.run(20s, false);
    REQUIRE(bench.b.fencingNumber());
    for (auto *engine : {&bench.ignoring, &bench.checking}) {
        GuardedEngineOrders guarded(bench.gate, *engine);
        LeasedEngineOrders orders(bench.b, guarded);
        CHECK(orderedBy(orders) == ErrorCode::NotFound);
        std::optional<ErrorCode> code;
        guarded.give(late, [&](const Result<void> &result) { code = result.error().code; });
        CHECK(code == ErrorCode::Denied);
        CHECK(engine->done().size() == 1);
    }
}

TEST_CASE("after a restart the gate admits nothing before it has read the number")
{
    Bench bench;
    bench.a.acquire();
    bench.run(5s);
    const auto old = *bench.a.fencingNumber();
    bench.b.acquire();
    bench.run(20s, false);
    bench.table.setFault(TableFault::Down);
    OrderGate restarted("roles", bench.clock, bench.table, bench.events);
    restarted.tick();
    bench.table.deliver();
    CHECK(restarted.admit(old).error().code == ErrorCode::Unavailable);
    bench.table.setFault(TableFault::None);
    bench.clock.advance(1s);
    restarted.tick();
    bench.table.deliver();
    CHECK(restarted.admit(old).error().code == ErrorCode::Denied);
    CHECK(restarted.admit(*bench.b.fencingNumber()));
}

TEST_CASE("a lease whose write was answered to nobody is settled by reading it back")
{
    Bench bench;
    bench.table.setNextWriteFault(TableFault::LostAnswer);
    bench.a.acquire();
    bench.run(1s);
    CHECK(bench.a.fencingNumber());
    bench.table.setFault(TableFault::Down);
    bench.run(7s);
    CHECK_FALSE(bench.a.fencingNumber());
    bench.table.setFault(TableFault::None);
    bench.run(2s);
    CHECK(bench.a.fencingNumber());
}

TEST_CASE("a lease that is released is free at once")
{
    Bench bench;
    bench.a.acquire();
    bench.run(1s);
    bench.a.release();
    CHECK_FALSE(bench.a.fencingNumber());
    bench.b.acquire();
    bench.run(2s);
    CHECK(bench.b.fencingNumber());
}

TEST_CASE("weight loads of all daemons share the permits")
{
    VirtualClock clock;
    FakeTable table;
    NullEventLog events;
    SeededRandom random(1);
    std::vector<std::unique_ptr<WeightLoadPermit>> daemons;
    for (std::uint64_t n = 1; n <= 5; ++n) {
        const Peer own {HostName {std::to_string(n)}, {n, n}};
        daemons.push_back(std::make_unique<WeightLoadPermit>(2, own, clock, random, table, events));
        daemons.back()->acquire();
    }
    std::vector<bool> loaded(daemons.size());
    for (int n = 0; n < 1000; ++n) {
        clock.advance(100ms);
        for (std::size_t i = 0; i < daemons.size(); ++i) {
            daemons[i]->tick();
            table.deliver();
            if (daemons[i]->held() && n % 50 == 49) {
                loaded[i] = true;
                daemons[i]->release();
            }
        }
        const auto loading = std::count_if(daemons.begin(), daemons.end(), [](const auto &it) { return it->held(); });
        CHECK(loading <= 2);
    }
    CHECK(std::count(loaded.begin(), loaded.end(), true) == 5);
}
