#include "monsoonward/decisions/decisions.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace monsoonward;
using namespace std::chrono_literals;

namespace
{

/// Two daemons, a and b, that compete for a lease, and an order gate that checks its fencing token.
struct Fixture
{
    /// Lets @p length pass and checks that at most one daemon holds the lease at a time.
    /// @param tickA @param tickB false simulates a pause of that daemon's process
    void run(Duration length, bool tickA = true, bool tickB = true)
    {
        for (Duration passed {}; passed < length; passed += 100ms) {
            clock.advance(100ms);
            if (tickA) {
                a.tick();
            }
            if (tickB) {
                b.tick();
            }
            gate.tick();
            table.deliver();
            const bool both = a.fencingToken() && b.fencingToken();
            CHECK_FALSE(both);
        }
    }

    VirtualClock clock;
    FakeTable table;
    NullEventLog events;
    Lease a {"roles", {HostName {"a"}, {1, 1}}, clock, table, events};
    Lease b {"roles", {HostName {"b"}, {2, 2}}, clock, table, events};
    OrderGate gate {"roles", clock, table, events};
    FakeEngineOrderSender engineWithoutFencing {false};
    FakeEngineOrderSender engineWithFencing {true};
};

/// @return the error of sending an order through @p orders, or NotFound if the order was executed
ErrorCode sendOrder(LeasedEngineOrderSender &orders)
{
    auto code = ErrorCode::Invalid;
    orders.send({EngineOrderKind::LoadModel, EngineName {"e"}, "model-2", 0}, [&](const Result<void> &result) {
        code = result ? ErrorCode::NotFound : result.error().code; // NotFound means success
    });
    return code;
}

} // namespace

TEST_CASE("a lease has one holder at a time, and a paused holder sends no orders after its lease expired")
{
    Fixture fixture;
    fixture.a.acquire();
    fixture.run(1s);
    REQUIRE(fixture.a.fencingToken());
    const auto oldToken = *fixture.a.fencingToken();
    fixture.b.acquire();
    fixture.run(20s);
    CHECK(fixture.a.fencingToken());
    CHECK_FALSE(fixture.b.fencingToken());
    fixture.run(6s, false);
    CHECK_FALSE(fixture.a.fencingToken()); // by its own clock, without a tick
    fixture.run(10s, false);
    REQUIRE(fixture.b.fencingToken());
    CHECK(*fixture.b.fencingToken() > oldToken);
    LeasedEngineOrderSender orders(fixture.a, fixture.engineWithoutFencing);
    CHECK(sendOrder(orders) == ErrorCode::Denied);
    CHECK(fixture.engineWithoutFencing.executed().empty());
}

TEST_CASE("the gate refuses a delayed order with an outdated token, whether or not the engine checks tokens")
{
    Fixture fixture;
    fixture.a.acquire();
    fixture.run(1s);
    const EngineOrder staleOrder {EngineOrderKind::ChangeRole, EngineName {"e"}, "prefill", *fixture.a.fencingToken()};
    fixture.b.acquire();
    fixture.run(20s, false);
    REQUIRE(fixture.b.fencingToken());
    for (auto *engine : {&fixture.engineWithoutFencing, &fixture.engineWithFencing}) {
        FencedEngineOrderSender fenced(fixture.gate, *engine);
        LeasedEngineOrderSender orders(fixture.b, fenced);
        CHECK(sendOrder(orders) == ErrorCode::NotFound);
        std::optional<ErrorCode> code;
        fenced.send(staleOrder, [&](const Result<void> &result) { code = result.error().code; });
        CHECK(code == ErrorCode::Denied);
        CHECK(engine->executed().size() == 1);
    }
}

TEST_CASE("a restarted gate admits no order until it has read the current token")
{
    Fixture fixture;
    fixture.a.acquire();
    fixture.run(5s);
    const auto oldToken = *fixture.a.fencingToken();
    fixture.b.acquire();
    fixture.run(20s, false);
    fixture.table.setFault(TableFault::Down);
    OrderGate restarted("roles", fixture.clock, fixture.table, fixture.events);
    restarted.tick();
    fixture.table.deliver();
    CHECK(restarted.admit(oldToken).error().code == ErrorCode::Unavailable);
    fixture.table.setFault(TableFault::None);
    fixture.clock.advance(1s);
    restarted.tick();
    fixture.table.deliver();
    CHECK(restarted.admit(oldToken).error().code == ErrorCode::Denied);
    CHECK(restarted.admit(*fixture.b.fencingToken()));
}

TEST_CASE("a lease is acquired although the write's answer was lost, because the row is read back")
{
    Fixture fixture;
    fixture.table.setNextWriteFault(TableFault::LostResponse);
    fixture.a.acquire();
    fixture.run(1s);
    CHECK(fixture.a.fencingToken());
    fixture.table.setFault(TableFault::Down);
    fixture.run(7s);
    CHECK_FALSE(fixture.a.fencingToken());
    fixture.table.setFault(TableFault::None);
    fixture.run(2s);
    CHECK(fixture.a.fencingToken());
}

TEST_CASE("a released lease can be acquired without waiting for its expiry")
{
    Fixture fixture;
    fixture.a.acquire();
    fixture.run(1s);
    fixture.a.release();
    CHECK_FALSE(fixture.a.fencingToken());
    fixture.b.acquire();
    fixture.run(2s);
    CHECK(fixture.b.fencingToken());
}

TEST_CASE("no more daemons load weights at once than there are permits, and each gets its turn")
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
