#include "measure.h"

#include <monsoonward/decisions/decisions.h>
#include <sampleconfiguration.h>

namespace monsoonward::capacity
{

namespace
{

/// @brief Drops all output of an entry and counts its calls.
class CountingEntryOutput : public EntryOutput
{
public:
    void send(const Peer & /*to*/, const Message & /*message*/) override
    {
        ++sent;
    }
    void handOver(const Peer & /*to*/, const RequestId & /*id*/, const ClaimId & /*claim*/) override
    {
    }
    void rejectClaim(const Peer & /*to*/, const RequestId & /*id*/, const ClaimId & /*claim*/) override
    {
    }
    void refuse(const RequestId & /*id*/, const Refusal & /*refusal*/) override
    {
        ++refused;
    }
    void complete(const RequestId & /*id*/, const AnswerEnd & /*end*/) override
    {
        ++completed;
    }

    std::size_t sent = 0;
    std::size_t refused = 0;
    std::size_t completed = 0;
};

/// @brief An EntryMachine that is connected to all targets and has the status of each.
class EntryFixture
{
public:
    explicit EntryFixture(const ConfigurationSize &size)
        : m_configuration(std::make_shared<Configuration>(sampleConfiguration(size)))
        , m_machine(EntryOptions {{HostName {"entry-00000"}, {1, 1}}, RegionName {"region-00000"}},
                    m_clock,
                    m_random,
                    m_table,
                    m_output,
                    m_events)
    {
        m_machine.configure(m_configuration);
        for (unsigned n = 0; n < size.targetHosts; ++n) {
            m_machine.onPeerUp(peerOf(n), HostRole::Target);
        }
        runHeartbeatInterval();
    }

    Peer peerOf(std::size_t n) const
    {
        return {m_configuration->targets[n].host, {2, n}};
    }

    /// Advances the clock by a heartbeat interval and delivers a heartbeat and a status from each target.
    void runHeartbeatInterval()
    {
        m_clock.advance(std::chrono::milliseconds(300));
        ++m_round;
        const std::vector<TierLoad> tiers = {{Tier(0), 1, 2000}, {Tier(1), 5, 9000}, {Tier(2), 40, 80000}};
        for (std::size_t n = 0; n < m_configuration->targets.size(); ++n) {
            const auto &target = m_configuration->targets[n];
            m_machine.onMessage(peerOf(n), Heartbeat {peerOf(n), HostRole::Target, m_round, 1, false});
            m_machine.onMessage(peerOf(n),
                                TargetStatus {target.name, target.service, true, 100, 20, 12000, 40, tiers, {}, {}});
        }
    }

    RequestSpec makeSpec(std::uint64_t n)
    {
        RequestSpec spec;
        spec.id = m_machine.nextId();
        const auto &customers = m_configuration->customers;
        spec.customer = customers[n % customers.size()].name;
        spec.service = m_configuration->services[n % m_configuration->services.size()].name;
        spec.tier = Tier(static_cast<unsigned>(n % m_configuration->tiers.size()));
        spec.deadline = m_clock.now() + std::chrono::hours(10);
        spec.promptTokens = 400;
        spec.outputTokens = 447;
        spec.prefixes = {n, n + 1, n + 2, n + 3};
        spec.fingerprint = n;
        spec.bodyBytes = 2000;
        return spec;
    }

    void submit(std::uint64_t n)
    {
        m_machine.submit(makeSpec(n));
    }

    /// Takes one request through arrival, claim by a target and end of the answer.
    void serve()
    {
        const auto request = makeSpec(m_served);
        m_machine.submit(request);
        const auto n = m_served % m_configuration->targets.size();
        const ClaimId claim {peerOf(n).incarnation, ++m_served};
        const EngineName engine {"engine-00000"};
        m_machine.onMessage(peerOf(n), Claim {request.id, claim, m_configuration->targets[n].name, engine});
        m_machine.onMessage(peerOf(n), AnswerEnd {request.id, claim, 0, Verdict::Completed, "", 400, 0, 447});
    }

    EntryMachine &machine()
    {
        return m_machine;
    }
    const CountingEntryOutput &output() const
    {
        return m_output;
    }

private:
    ConfigurationPtr m_configuration;
    VirtualClock m_clock;
    SeededRandom m_random {1};
    FakeTable m_table;
    CountingEntryOutput m_output;
    NullEventLog m_events;
    EntryMachine m_machine;
    std::uint64_t m_round = 0;
    std::uint64_t m_served = 0;
};

void measureTargets()
{
    Slope heap {"entry heap", "target", "bytes", {}};
    Slope status {"entry status round", "target", "us", {}};
    Slope serve {"entry request, arrival to end", "target", "us", {}};
    for (const auto n : {40U, 100U, 200U, 400U}) {
        ConfigurationSize size;
        size.targetHosts = n;
        size.engines = n;
        const auto before = heapBytes();
        EntryFixture entry(size);
        heap.points.emplace_back(n, heapBytes() - before);
        status.points.emplace_back(n, measureMicroseconds([&] { entry.runHeartbeatInterval(); }));
        serve.points.emplace_back(n, measureMicroseconds([&] { entry.serve(); }));
    }
    print(heap);
    print(status);
    print(serve);
}

void measureWaiting()
{
    Slope heap {"entry heap", "waiting request", "bytes", {}};
    Slope tick {"entry tick", "waiting request", "us", {}};
    for (const auto n : {250U, 500U, 1000U, 2000U}) {
        EntryFixture entry(ConfigurationSize {});
        const auto before = heapBytes();
        for (unsigned it = 0; it < n; ++it) {
            entry.submit(it);
        }
        const auto waiting = n - entry.output().refused;
        heap.points.emplace_back(waiting, heapBytes() - before);
        tick.points.emplace_back(waiting, measureMicroseconds([&] { entry.machine().tick(); }));
    }
    print(heap);
    print(tick);
}

void measureCustomers()
{
    Slope heap {"entry heap", "customer", "bytes", {}};
    Slope serve {"entry request, arrival to end", "customer", "us", {}};
    Slope tick {"entry tick", "customer", "us", {}};
    for (const auto n : {100U, 1000U, 3000U, 10000U}) {
        ConfigurationSize size;
        size.customers = n;
        const auto before = heapBytes();
        EntryFixture entry(size);
        for (unsigned it = 0; it < n; ++it) {
            entry.serve();
        }
        heap.points.emplace_back(n, heapBytes() - before);
        serve.points.emplace_back(n, measureMicroseconds([&] { entry.serve(); }));
        tick.points.emplace_back(n, measureMicroseconds([&] { entry.machine().tick(); }));
    }
    print(heap);
    print(serve);
    print(tick);
}

} // namespace

void measureEntry()
{
    measureTargets();
    measureWaiting();
    measureCustomers();
}

} // namespace monsoonward::capacity
