#include "monsoonward/decisions/decisions.h"

#include <doctest/doctest.h>

using namespace monsoonward;
using namespace std::chrono_literals;

namespace
{

/// Records the outputs of an EntryMachine.
class EntryRecorder : public EntryOutput
{
public:
    void send(const Peer & /*to*/, const Message &message) override
    {
        sent.push_back(message);
    }
    void handOver(const Peer & /*to*/, const RequestId & /*id*/, const ClaimId &claim) override
    {
        handedOver.push_back(claim);
    }
    void rejectClaim(const Peer & /*to*/, const RequestId & /*id*/, const ClaimId &claim) override
    {
        rejected.push_back(claim);
    }
    void refuse(const RequestId & /*id*/, const Refusal &refusal) override
    {
        refusals.push_back(refusal);
    }
    void complete(const RequestId & /*id*/, const AnswerEnd & /*end*/) override
    {
        ++completions;
    }

    std::vector<Message> sent;
    std::vector<ClaimId> handedOver;
    std::vector<ClaimId> rejected;
    std::vector<Refusal> refusals;
    int completions = 0;
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
    configuration->hosts.push_back(host);
    configuration->targets.push_back(target);
    return configuration;
}

/// An entry with one connected target daemon.
struct Fixture
{
    Fixture()
    {
        machine.configure(oneTarget(ServingState::InService));
        machine.onPeerUp(daemon, HostRole::Target);
        TargetStatus status;
        status.target = TargetName {"target"};
        status.service = ServiceName {"service"};
        status.freeSlots = 4;
        machine.onMessage(daemon, status);
    }

    static EntryOptions options()
    {
        EntryOptions options;
        options.own = {HostName {"entry"}, {1, 1}};
        return options;
    }
    RequestId submit(const std::string &key = {})
    {
        RequestSpec spec;
        spec.id = machine.nextId();
        spec.service = ServiceName {"service"};
        spec.deadline = clock.now() + 10s;
        spec.idempotent = key.empty();
        spec.idempotencyKey = key;
        spec.fingerprint = 7;
        machine.submit(spec);
        return spec.id;
    }
    void claim(const RequestId &id, const ClaimId &claim)
    {
        machine.onMessage(daemon, Claim {id, claim, TargetName {"target"}, EngineName {"engine"}});
    }

    VirtualClock clock;
    SeededRandom random {1};
    FakeTable table;
    EntryRecorder output;
    NullEventLog events;
    Peer daemon {HostName {"host"}, {2, 2}};
    EntryMachine machine {options(), clock, random, table, output, events};
    ClaimId first {{2, 2}, 1};
    ClaimId second {{2, 2}, 2};
};

} // namespace

TEST_CASE("a request is not handed over before it holds its idempotency row")
{
    Fixture fixture;
    fixture.machine.tick();
    fixture.table.deliver(); // the answer to the read of the epoch, which the row needs
    const auto id = fixture.submit("booking");
    fixture.claim(id, fixture.first);
    CHECK(fixture.output.handedOver.empty());
    CHECK(fixture.output.rejected == std::vector {fixture.first});
    fixture.table.deliver();
    fixture.claim(id, fixture.second);
    CHECK(fixture.output.handedOver == std::vector {fixture.second});
}

TEST_CASE("a second claim is rejected, a duplicate of the first one is ignored")
{
    Fixture fixture;
    const auto id = fixture.submit();
    fixture.claim(id, fixture.first);
    fixture.claim(id, fixture.second);
    fixture.claim(id, fixture.first);
    CHECK(fixture.output.handedOver == std::vector {fixture.first});
    CHECK(fixture.output.rejected == std::vector {fixture.second});
}

TEST_CASE("when the holder restarts, the request ends at once with the verdict MayHaveRun, without a retry")
{
    Fixture fixture;
    const auto id = fixture.submit();
    fixture.claim(id, fixture.first);
    fixture.machine.onPeerUp({HostName {"host"}, {3, 3}}, HostRole::Target);
    REQUIRE(fixture.output.refusals.size() == 1);
    CHECK(fixture.output.refusals[0].verdict == Verdict::MayHaveRun);
    fixture.claim(id, fixture.second);
    CHECK(fixture.output.handedOver.size() == 1);
}

TEST_CASE("a claim is rejected if the entry's configuration says that the target is draining")
{
    Fixture fixture;
    const auto id = fixture.submit();
    fixture.machine.configure(oneTarget(ServingState::Draining));
    fixture.claim(id, fixture.first);
    CHECK(fixture.output.handedOver.empty());
    CHECK(fixture.output.rejected.size() == 1);
}

TEST_CASE("messages from a daemon that doesn't hold the request don't affect it")
{
    Fixture fixture;
    const Peer other {HostName {"other"}, {4, 4}};
    fixture.machine.onPeerUp(other, HostRole::Target);
    const auto id = fixture.submit();
    fixture.claim(id, fixture.first);
    fixture.machine.onMessage(other, Refused {id, fixture.first, {}});
    fixture.machine.onMessage(other, CancelReply {id, fixture.first, Verdict::NotRun});
    fixture.machine.onMessage(other, AnswerEnd {id, fixture.first, 0, Verdict::Completed, {}, 0, 0, 0});
    fixture.machine.onMessage(fixture.daemon, Refused {id, fixture.second, {}});
    CHECK(fixture.output.refusals.empty());
    CHECK(fixture.output.completions == 0);
    fixture.claim(id, fixture.second);
    CHECK(fixture.output.handedOver.size() == 1);
}

TEST_CASE("a request ends with the verdict NotRun when the retry budget is spent")
{
    Fixture fixture;
    const auto id = fixture.submit();
    int tries = 0;
    while (fixture.output.refusals.empty() && tries < 1000) {
        const ClaimId claim {{2, 2}, static_cast<std::uint64_t>(++tries)};
        fixture.claim(id, claim);
        fixture.machine.onMessage(fixture.daemon, Refused {id, claim, {}});
    }
    CHECK(tries < 100);
    CHECK(fixture.output.refusals.at(0).verdict == Verdict::NotRun);
    CHECK(fixture.output.refusals.at(0).retryAfter);
}

TEST_CASE("after a lost stream the holder's reply or a timeout decides the request's outcome")
{
    for (const auto verdict : {Verdict::NotRun, Verdict::MayHaveRun}) {
        Fixture fixture;
        const auto id = fixture.submit();
        fixture.claim(id, fixture.first);
        fixture.machine.onStreamLost(fixture.daemon, id, fixture.first);
        CHECK(std::holds_alternative<Cancel>(fixture.output.sent.back()));
        fixture.machine.onMessage(fixture.daemon, CancelReply {id, fixture.first, verdict});
        CHECK(fixture.output.refusals.empty() == (verdict == Verdict::NotRun));
    }
    Fixture fixture;
    const auto id = fixture.submit();
    fixture.claim(id, fixture.first);
    fixture.machine.onStreamLost(fixture.daemon, id, fixture.first);
    fixture.clock.advance(1s);
    fixture.machine.tick();
    REQUIRE(fixture.output.refusals.size() == 1);
    CHECK(fixture.output.refusals[0].verdict == Verdict::MayHaveRun);
}
