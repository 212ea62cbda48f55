#include "monsoonward/decisions/decisions.h"

#include <doctest/doctest.h>

using namespace monsoonward;
using namespace std::chrono_literals;

namespace
{

/// Keeps what a target's machine asks for.
class TargetRecorder : public TargetOutput
{
public:
    void send(const Peer & /*to*/, const Message &message) override
    {
        if (const auto *refused = std::get_if<Refused>(&message)) {
            refusals.push_back(refused->claim);
        } else if (const auto *reply = std::get_if<CancelReply>(&message)) {
            replies.push_back(reply->verdict);
        }
    }
    void sendClaim(const Peer & /*to*/, const Claim &claim) override
    {
        claims.push_back(claim);
    }
    void closeStream(const ClaimId & /*claim*/) override
    {
    }
    void dispatch(const Claim &claim, const HandOver & /*request*/) override
    {
        dispatched.push_back(claim.claim);
    }
    void cancelRun(const ClaimId &claim) override
    {
        cancelled.push_back(claim);
    }

    std::vector<Claim> claims;
    std::vector<ClaimId> refusals;
    std::vector<Verdict> replies;
    std::vector<ClaimId> dispatched;
    std::vector<ClaimId> cancelled;
};

ConfigurationPtr oneTarget(ServingState state)
{
    auto configuration = std::make_shared<Configuration>();
    HostSpec host;
    host.name = HostName {"host"};
    TargetSpec target;
    target.name = TargetName {"target"};
    target.host = host.name;
    target.service = ServiceName {"service"};
    target.state = state;
    EngineSpec engine;
    engine.name = EngineName {"engine"};
    engine.target = target.name;
    engine.maxBatch = 4;
    configuration->hosts.push_back(host);
    configuration->targets.push_back(target);
    configuration->engines.push_back(engine);
    return configuration;
}

/// A target daemon with one entry connected and one claim open.
struct Bench
{
    Bench()
    {
        machine.configure(oneTarget(ServingState::InService));
        machine.setEngineUp(EngineName {"engine"}, true);
        machine.onPeerUp(entry);
        reserve(id);
        REQUIRE(output.claims.size() == 1);
        claim = output.claims[0].claim;
    }

    static TargetOptions options()
    {
        TargetOptions options;
        options.own = {HostName {"host"}, {2, 2}};
        return options;
    }
    void reserve(const RequestId &request)
    {
        Reserve reserve;
        reserve.id = request;
        reserve.target = TargetName {"target"};
        reserve.service = ServiceName {"service"};
        reserve.timeLeft = 30s;
        reserve.promptTokens = 10;
        reserve.outputTokens = 10;
        machine.onMessage(entry, reserve);
    }
    void handOver(const Peer &from)
    {
        machine.onMessage(from, HandOver {id, claim, "POST", "/", {}, {}});
    }

    VirtualClock clock;
    TargetRecorder output;
    NullEventLog events;
    Peer entry {HostName {"entry"}, {1, 1}};
    RequestId id {{1, 1}, 1};
    ClaimId claim;
    TargetMachine machine {options(), clock, output, events};
};

} // namespace

TEST_CASE("a hand-over that comes twice is dispatched once")
{
    Bench bench;
    bench.handOver(bench.entry);
    bench.handOver(bench.entry);
    CHECK(bench.output.dispatched == std::vector {bench.claim});
    bench.machine.onFinished(bench.claim, {});
    bench.handOver(bench.entry);
    CHECK(bench.output.dispatched.size() == 1);
}

TEST_CASE("a hand-over that comes after the claim was given up is never dispatched")
{
    Bench bench;
    bench.clock.advance(1s);
    bench.machine.tick();
    CHECK(bench.output.refusals.size() >= 1);
    bench.handOver(bench.entry);
    bench.machine.onMessage(bench.entry, RefusedAck {bench.claim});
    bench.handOver(bench.entry);
    CHECK(bench.output.dispatched.empty());
}

TEST_CASE("a refusal is repeated until it is acknowledged, also over a new connection")
{
    Bench bench;
    bench.machine.onPeerDown(bench.entry);
    const auto before = bench.output.refusals.size();
    bench.machine.onPeerUp(bench.entry);
    CHECK(bench.output.refusals.size() > before);
    bench.clock.advance(300ms);
    bench.machine.tick();
    const auto repeated = bench.output.refusals.size();
    CHECK(repeated > before + 1);
    CHECK_FALSE(bench.machine.idle());
    bench.machine.onMessage(bench.entry, RefusedAck {bench.claim});
    bench.clock.advance(300ms);
    bench.machine.tick();
    CHECK(bench.output.refusals.size() == repeated);
    CHECK(bench.machine.idle());
}

TEST_CASE("a cancel is answered by whether the claim was dispatched, and holds for a later hand-over")
{
    Bench bench;
    bench.machine.onMessage(bench.entry, Cancel {bench.id, bench.claim});
    bench.handOver(bench.entry);
    bench.machine.onMessage(bench.entry, Cancel {bench.id, bench.claim});
    CHECK(bench.output.replies == std::vector {Verdict::NotRun, Verdict::NotRun});
    CHECK(bench.output.dispatched.empty());

    Bench other;
    other.handOver(other.entry);
    other.machine.onMessage(other.entry, Cancel {other.id, other.claim});
    CHECK(other.output.replies == std::vector {Verdict::MayHaveRun});
    CHECK(other.output.cancelled == std::vector {other.claim});
}

TEST_CASE("only the entry that was asked can hand over, reject or cancel")
{
    Bench bench;
    const Peer other {HostName {"other"}, {3, 3}};
    bench.machine.onPeerUp(other);
    bench.handOver(other);
    bench.machine.onMessage(other, Cancel {bench.id, bench.claim});
    bench.machine.onMessage(other, ClaimRejected {bench.id, bench.claim});
    CHECK(bench.output.dispatched.empty());
    bench.handOver(bench.entry);
    CHECK(bench.output.dispatched.size() == 1);
}

TEST_CASE("a leaving or draining target claims nothing more")
{
    Bench bench;
    bench.machine.configure(oneTarget(ServingState::Draining));
    bench.reserve({{1, 1}, 2});
    CHECK(bench.output.claims.size() == 1);
    bench.machine.configure(oneTarget(ServingState::InService));
    bench.machine.beginShutdown();
    bench.reserve({{1, 1}, 3});
    CHECK(bench.output.claims.size() == 1);
}

TEST_CASE("when the entry was replaced, its claims and runs are ended")
{
    Bench bench;
    bench.machine.onPeerUp({HostName {"entry"}, {9, 9}});
    bench.handOver(bench.entry);
    CHECK(bench.output.dispatched.empty());
    CHECK(bench.machine.idle());

    Bench other;
    other.handOver(other.entry);
    other.machine.onPeerUp({HostName {"entry"}, {9, 9}});
    CHECK(other.output.cancelled == std::vector {other.claim});
}
