#include "monsoonward/decisions/decisions.h"

#include <doctest/doctest.h>

using namespace monsoonward;
using namespace std::chrono_literals;

namespace
{

/// Records the outputs of a TargetMachine.
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

/// A target daemon with one connected entry and one open claim.
struct Fixture
{
    Fixture()
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

TEST_CASE("a duplicate hand-over is not dispatched again")
{
    Fixture fixture;
    fixture.handOver(fixture.entry);
    fixture.handOver(fixture.entry);
    CHECK(fixture.output.dispatched == std::vector {fixture.claim});
    fixture.machine.onFinished(fixture.claim, {});
    fixture.handOver(fixture.entry);
    CHECK(fixture.output.dispatched.size() == 1);
}

TEST_CASE("a hand-over for a claim that was given up is never dispatched")
{
    Fixture fixture;
    fixture.clock.advance(1s);
    fixture.machine.tick();
    CHECK(fixture.output.refusals.size() >= 1);
    fixture.handOver(fixture.entry);
    fixture.machine.onMessage(fixture.entry, RefusedAck {fixture.claim});
    fixture.handOver(fixture.entry);
    CHECK(fixture.output.dispatched.empty());
}

TEST_CASE("a refusal is resent until it is acknowledged, also on a new connection")
{
    Fixture fixture;
    fixture.machine.onPeerDown(fixture.entry);
    const auto before = fixture.output.refusals.size();
    fixture.machine.onPeerUp(fixture.entry);
    CHECK(fixture.output.refusals.size() > before);
    fixture.clock.advance(300ms);
    fixture.machine.tick();
    const auto repeated = fixture.output.refusals.size();
    CHECK(repeated > before + 1);
    CHECK_FALSE(fixture.machine.idle());
    fixture.machine.onMessage(fixture.entry, RefusedAck {fixture.claim});
    fixture.clock.advance(300ms);
    fixture.machine.tick();
    CHECK(fixture.output.refusals.size() == repeated);
    CHECK(fixture.machine.idle());
}

TEST_CASE("the reply to a cancel says whether the request was dispatched; a cancelled claim is never dispatched")
{
    Fixture fixture;
    fixture.machine.onMessage(fixture.entry, Cancel {fixture.id, fixture.claim});
    fixture.handOver(fixture.entry);
    fixture.machine.onMessage(fixture.entry, Cancel {fixture.id, fixture.claim});
    CHECK(fixture.output.replies == std::vector {Verdict::NotRun, Verdict::NotRun});
    CHECK(fixture.output.dispatched.empty());

    Fixture other;
    other.handOver(other.entry);
    other.machine.onMessage(other.entry, Cancel {other.id, other.claim});
    CHECK(other.output.replies == std::vector {Verdict::MayHaveRun});
    CHECK(other.output.cancelled == std::vector {other.claim});
}

TEST_CASE("only the entry that a claim was sent to can hand over, reject or cancel")
{
    Fixture fixture;
    const Peer other {HostName {"other"}, {3, 3}};
    fixture.machine.onPeerUp(other);
    fixture.handOver(other);
    fixture.machine.onMessage(other, Cancel {fixture.id, fixture.claim});
    fixture.machine.onMessage(other, ClaimRejected {fixture.id, fixture.claim});
    CHECK(fixture.output.dispatched.empty());
    fixture.handOver(fixture.entry);
    CHECK(fixture.output.dispatched.size() == 1);
}

TEST_CASE("a target that is draining or shutting down claims no more requests")
{
    Fixture fixture;
    fixture.machine.configure(oneTarget(ServingState::Draining));
    fixture.reserve({{1, 1}, 2});
    CHECK(fixture.output.claims.size() == 1);
    fixture.machine.configure(oneTarget(ServingState::InService));
    fixture.machine.beginShutdown();
    fixture.reserve({{1, 1}, 3});
    CHECK(fixture.output.claims.size() == 1);
}

TEST_CASE("when the entry restarts, the claims and runs of its old incarnation end")
{
    Fixture fixture;
    fixture.machine.onPeerUp({HostName {"entry"}, {9, 9}});
    fixture.handOver(fixture.entry);
    CHECK(fixture.output.dispatched.empty());
    CHECK(fixture.machine.idle());

    Fixture other;
    other.handOver(other.entry);
    other.machine.onPeerUp({HostName {"entry"}, {9, 9}});
    CHECK(other.output.cancelled == std::vector {other.claim});
}
