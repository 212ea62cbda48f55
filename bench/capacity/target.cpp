#include "measure.h"

#include <monsoonward/decisions/decisions.h>
#include <sampleconfiguration.h>

namespace monsoonward::capacity
{

namespace
{

/// @brief Collects the claims that a target sends and drops all other output.
class ClaimCollectingOutput : public TargetOutput
{
public:
    void send(const Peer & /*to*/, const Message & /*message*/) override
    {
    }
    void sendClaim(const Peer &to, const Claim &claim) override
    {
        claims.emplace_back(to, claim);
    }
    void closeStream(const ClaimId & /*claim*/) override
    {
    }
    void dispatch(const Claim & /*claim*/, const HandOver & /*request*/) override
    {
    }
    void cancelRun(const ClaimId & /*claim*/) override
    {
    }

    std::vector<std::pair<Peer, Claim>> claims;
};

/// @brief A TargetMachine with running engines and connected entries.
class TargetFixture
{
public:
    TargetFixture(unsigned entries, unsigned engines)
    {
        ConfigurationSize size;
        size.targetHosts = 1;
        size.services = 1;
        size.engines = engines;
        m_machine.configure(std::make_shared<Configuration>(sampleConfiguration(size)));
        for (unsigned n = 0; n < engines; ++n) {
            const auto digits = std::to_string(n);
            m_machine.setEngineUp(EngineName {"engine-" + std::string(5 - digits.size(), '0') + digits}, true);
        }
        for (unsigned n = 0; n < entries; ++n) {
            m_entries.push_back(makeEntryPeer(n));
            m_machine.onPeerUp(makeEntryPeer(n));
        }
    }

    static Peer makeEntryPeer(std::uint64_t n)
    {
        return {HostName {"entry-" + std::to_string(n)}, {1, n}};
    }

    void reserve()
    {
        Reserve reserve;
        reserve.id = {makeEntryPeer(0).incarnation, ++m_sequence};
        reserve.target = TargetName {"target-00000"};
        reserve.service = ServiceName {"service-00000"};
        reserve.customer = CustomerName {"customer-" + std::to_string(m_sequence % 1000)};
        reserve.tier = Tier(static_cast<unsigned>(m_sequence % 3));
        reserve.timeLeft = std::chrono::hours(10);
        reserve.promptTokens = 400;
        reserve.outputTokens = 447;
        reserve.prefixes = {1, 2, 3, 4};
        m_machine.onMessage(makeEntryPeer(0), reserve);
    }

    /// Takes one request through reservation, hand-over, first token and end.
    void serve()
    {
        reserve();
        if (m_output.claims.empty()) {
            return;
        }
        const auto [from, claim] = m_output.claims.back();
        m_output.claims.pop_back();
        m_machine.onMessage(from, HandOver {claim.id, claim.claim, "POST", "/", {}, std::string(2000, 'x')});
        m_machine.onFirstToken(claim.claim);
        m_machine.onTokens(claim.claim, 447);
        m_machine.onFinished(claim.claim,
                             RunStats {400, 0, 447, std::chrono::seconds(1), std::chrono::seconds(9), false});
        ++served;
    }

    /// Advances the clock by a heartbeat interval, delivers a heartbeat from each entry and runs the timers.
    void runHeartbeatInterval()
    {
        m_clock.advance(std::chrono::milliseconds(300));
        for (const auto &it : m_entries) {
            m_machine.onMessage(it, Heartbeat {it, HostRole::Entry, ++m_sequence, 1, false});
        }
        m_machine.tick();
    }

    TargetMachine &machine()
    {
        return m_machine;
    }

    std::size_t served = 0;

private:
    VirtualClock m_clock;
    ClaimCollectingOutput m_output;
    NullEventLog m_events;
    TargetMachine m_machine {TargetOptions {{HostName {"host-00000"}, {9, 9}}}, m_clock, m_output, m_events};
    std::vector<Peer> m_entries;
    std::uint64_t m_sequence = 0;
};

void measureReservations()
{
    Slope heap {"target heap", "reservation", "bytes", {}};
    Slope tick {"target tick", "reservation", "us", {}};
    for (const auto n : {250U, 500U, 1000U, 2000U}) {
        TargetFixture target(1, 1);
        const auto before = heapBytes();
        for (unsigned it = 0; it < n; ++it) {
            target.reserve();
        }
        heap.points.emplace_back(n, heapBytes() - before);
        tick.points.emplace_back(n, measureMicroseconds([&] { target.machine().tick(); }));
    }
    print(heap);
    print(tick);
}

void measureEntries()
{
    Slope round {"target heartbeat round", "entry", "us", {}};
    Slope heap {"target heap", "entry", "bytes", {}};
    for (const auto n : {5U, 10U, 20U, 40U}) {
        const auto before = heapBytes();
        TargetFixture target(n, 6);
        heap.points.emplace_back(n, heapBytes() - before);
        round.points.emplace_back(n, measureMicroseconds([&] { target.runHeartbeatInterval(); }));
    }
    print(heap);
    print(round);
}

void measureRequests()
{
    Slope serve {"target request, reservation to end", "engine", "us", {}};
    for (const auto n : {1U, 3U, 6U, 12U}) {
        TargetFixture target(20, n);
        serve.points.emplace_back(n, measureMicroseconds([&] { target.serve(); }));
    }
    print(serve);
}

} // namespace

void measureTarget()
{
    measureReservations();
    measureEntries();
    measureRequests();
}

} // namespace monsoonward::capacity
