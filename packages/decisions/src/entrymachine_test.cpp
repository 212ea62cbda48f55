#include "monsoonward/decisions/decisions.h"

#include <doctest/doctest.h>

using namespace monsoonward;
using namespace std::chrono_literals;

namespace
{

/// Keeps what an entry's machine asks for.
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

/// An entry with one target daemon connected.
struct Bench
{
    Bench()
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

TEST_CASE("a request that waits for its row is handed to nobody")
{
    Bench bench;
    bench.machine.tick();
    bench.table.deliver(); // the claim epoch
    const auto id = bench.submit("booking");
    bench.claim(id, bench.first);
    CHECK(bench.output.handedOver.empty());
    CHECK(bench.output.rejected == std::vector {bench.first});
    bench.table.deliver();
    bench.claim(id, bench.second);
    CHECK(bench.output.handedOver == std::vector {bench.second});
}

TEST_CASE("a second claim is rejected, a repeated one is not")
{
    Bench bench;
    const auto id = bench.submit();
    bench.claim(id, bench.first);
    bench.claim(id, bench.second);
    bench.claim(id, bench.first);
    CHECK(bench.output.handedOver == std::vector {bench.first});
    CHECK(bench.output.rejected == std::vector {bench.second});
}

TEST_CASE("another incarnation on the holder's host: may have run, at once and without another try")
{
    Bench bench;
    const auto id = bench.submit();
    bench.claim(id, bench.first);
    bench.machine.onPeerUp({HostName {"host"}, {3, 3}}, HostRole::Target);
    REQUIRE(bench.output.refusals.size() == 1);
    CHECK(bench.output.refusals[0].verdict == Verdict::MayHaveRun);
    bench.claim(id, bench.second);
    CHECK(bench.output.handedOver.size() == 1);
}

TEST_CASE("a draining target's claim is rejected whatever the target thinks")
{
    Bench bench;
    const auto id = bench.submit();
    bench.machine.configure(oneTarget(ServingState::Draining));
    bench.claim(id, bench.first);
    CHECK(bench.output.handedOver.empty());
    CHECK(bench.output.rejected.size() == 1);
}

TEST_CASE("another daemon can't settle or end a request that it doesn't hold")
{
    Bench bench;
    const Peer other {HostName {"other"}, {4, 4}};
    bench.machine.onPeerUp(other, HostRole::Target);
    const auto id = bench.submit();
    bench.claim(id, bench.first);
    bench.machine.onMessage(other, Refused {id, bench.first, {}});
    bench.machine.onMessage(other, CancelReply {id, bench.first, Verdict::NotRun});
    bench.machine.onMessage(other, AnswerEnd {id, bench.first, 0, Verdict::Completed, {}, 0, 0, 0});
    bench.machine.onMessage(bench.daemon, Refused {id, bench.second, {}});
    CHECK(bench.output.refusals.empty());
    CHECK(bench.output.completions == 0);
    bench.claim(id, bench.second);
    CHECK(bench.output.handedOver.size() == 1);
}

TEST_CASE("retries end with the retry budget, as not run")
{
    Bench bench;
    const auto id = bench.submit();
    int tries = 0;
    while (bench.output.refusals.empty() && tries < 1000) {
        const ClaimId claim {{2, 2}, static_cast<std::uint64_t>(++tries)};
        bench.claim(id, claim);
        bench.machine.onMessage(bench.daemon, Refused {id, claim, {}});
    }
    CHECK(tries < 100);
    CHECK(bench.output.refusals.at(0).verdict == Verdict::NotRun);
    CHECK(bench.output.refusals.at(0).retryAfter);
}

TEST_CASE("a lost stream is settled by the holder's word, or by time")
{
    for (const auto verdict : {Verdict::NotRun, Verdict::MayHaveRun}) {
        Bench bench;
        const auto id = bench.submit();
        bench.claim(id, bench.first);
        bench.machine.onStreamLost(bench.daemon, id, bench.first);
        CHECK(std::holds_alternative<Cancel>(bench.output.sent.back()));
        bench.machine.onMessage(bench.daemon, CancelReply {id, bench.first, verdict});
        CHECK(bench.output.refusals.empty() == (verdict == Verdict::NotRun));
    }
    Bench bench;
    const auto id = bench.submit();
    bench.claim(id, bench.first);
    bench.machine.onStreamLost(bench.daemon, id, bench.first);
    bench.clock.advance(1s);
    bench.machine.tick();
    REQUIRE(bench.output.refusals.size() == 1);
    CHECK(bench.output.refusals[0].verdict == Verdict::MayHaveRun);
}
