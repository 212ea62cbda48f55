#include "runs.h"

#include <monsoonward/decisions/decisions.h>
#include <monsoonward/transport/transport.h>

#include <algorithm>
#include <set>

namespace monsoonward::bench
{

namespace
{

constexpr std::size_t multiEngineThreshold =
    64; // fleets with at least as many engines have several on each target host
constexpr std::size_t enginesPerHost = 6;
constexpr Duration tickInterval = std::chrono::milliseconds(50);
constexpr Duration crashDetectionDelay = std::chrono::milliseconds(20); // until the peers notice the closed connection
constexpr Duration cacheEventDelay = std::chrono::milliseconds(500); // delay of the engines' cache events
constexpr double cacheEventLossRate = 0.1; // share of the cache events that never arrive

std::string numbered(const std::string &prefix, std::size_t n)
{
    auto digits = std::to_string(n);
    digits.insert(0, 5 - std::min<std::size_t>(5, digits.size()), '0');
    return prefix + digits;
}

/// @brief Simulates entries and target daemons with their real decision code, fake engines and a virtual clock.
class MonsoonwardRun : public EngineListener
{
public:
    MonsoonwardRun(const Workload &workload, std::uint64_t seed)
        : m_workload(workload)
        , m_random(seed)
        , m_network(workload, m_queue)
        , m_fleet(workload, m_queue, *this)
        , m_jobs(makeTrace(workload, m_queue.now(), seed))
        , m_tally(m_jobs, "monsoonward", seed)
        , m_states(m_jobs.size())
        , m_lastReportedUp(m_fleet.size(), true)
    {
        m_configuration = makeConfiguration();
        makeTargets();
        for (std::size_t n = 0; n < workload.entries; ++n) {
            m_entries.push_back(std::make_unique<Entry>());
            startEntry(n);
        }
    }

    Report run()
    {
        for (const auto &it : m_jobs) {
            m_queue.at(it.arrival, [this, &it] { arrive(it); });
        }
        for (const auto &it : m_workload.entryCrashes) {
            for (std::size_t n = 0; n < std::min(it.count, m_entries.size()); ++n) {
                m_queue.after(fromMillis(it.at), [this, n] { crashEntry(n); });
                m_queue.after(fromMillis(it.at + it.restart), [this, n] { startEntry(n); });
            }
        }
        tick();
        m_queue.runUntil(m_queue.now() + runDuration(m_workload));
        auto &report = m_tally.report();
        report.prefillTokens = m_fleet.prefilledTokens();
        report.messages = m_network.messages();
        report.crossRegionBytes = m_network.crossRegionBytes();
        return report;
    }

    void firstToken(std::size_t engine, const Job &job) override
    {
        auto &target = targetOf(engine);
        const auto claim = m_states[job.index].claim.claim;
        timeDecision([&] { target.machine->onFirstToken(claim); });
    }

    void finished(std::size_t engine, const Job &job, std::uint32_t cachedTokens) override
    {
        auto &state = m_states[job.index];
        const auto cachedElsewhere = state.bestCached > cachedTokens ? state.bestCached - cachedTokens : 0;
        const auto prefilled = job.promptTokens - cachedTokens;
        state.running = false;
        reportNewTokens(job, job.outputTokens);
        const auto now = m_queue.now();
        RunStats stats {job.promptTokens, cachedTokens, job.outputTokens, {}, now - state.dispatchedAt, false};
        const auto claim = state.claim;
        const AnswerEnd end {
            claim.id, claim.claim, 0, Verdict::Completed, "", job.promptTokens, cachedTokens, job.outputTokens};
        m_prefillTallies[job.index] = {prefilled, std::min(cachedElsewhere, prefilled)};
        sendEnd(engine, end, 200 + 4 * static_cast<std::size_t>(job.outputTokens));
        auto &target = targetOf(engine);
        timeDecision([&] { target.machine->onFinished(claim.claim, stats); });
    }

    void lost(std::size_t engine, const Job &job, std::uint32_t prefilled) override
    {
        auto &state = m_states[job.index];
        state.running = false;
        if (state.cancelled) {
            m_tally.cancelled(prefilled);
        } else {
            m_tally.lost(job, prefilled);
        }
        const auto claim = state.claim;
        m_queue.after(crashDetectionDelay, [this, engine, claim] {
            RunStats stats;
            stats.failed = true;
            sendEnd(engine, {claim.id, claim.claim, 0, Verdict::MayHaveRun, "the engine broke off", 0, 0, 0}, 100);
            timeDecision([&] { targetOf(engine).machine->onFinished(claim.claim, stats); });
        });
    }

private:
    struct Entry : EntryOutput
    {
        void send(const Peer &to, const Message &message) override
        {
            run->sendFromEntry(*this, to, message);
        }
        void handOver(const Peer &to, const RequestId &id, const ClaimId &claim) override
        {
            run->handOver(*this, to, id, claim);
        }
        void rejectClaim(const Peer &to, const RequestId &id, const ClaimId &claim) override
        {
            run->sendFromEntry(*this, to, ClaimRejected {id, claim});
        }
        void refuse(const RequestId &id, const Refusal &refusal) override
        {
            run->refused(id, refusal);
        }
        void complete(const RequestId &id, const AnswerEnd & /*end*/) override
        {
            run->completed(id);
        }

        MonsoonwardRun *run = nullptr;
        std::size_t index = 0;
        bool up = false;
        std::string region;
        Peer own;
        std::unique_ptr<SeededRandom> random;
        std::unique_ptr<FakeTable> table;
        std::unique_ptr<EntryMachine> machine;
        std::map<unsigned, std::set<std::size_t>> waiting; // indices of jobs not yet handed over, by tier
    };

    struct Target : TargetOutput
    {
        void send(const Peer &to, const Message &message) override
        {
            run->sendFromTarget(*this, to, message);
        }
        void sendClaim(const Peer &to, const Claim &claim) override
        {
            run->sendFromTarget(*this, to, claim);
        }
        void closeStream(const ClaimId & /*claim*/) override
        {
        }
        void dispatch(const Claim &claim, const HandOver & /*request*/) override
        {
            run->dispatch(claim);
        }
        void cancelRun(const ClaimId &claim) override
        {
            run->cancelRun(claim);
        }

        MonsoonwardRun *run = nullptr;
        std::string region;
        Peer own;
        std::vector<std::size_t> engines;
        std::unique_ptr<TargetMachine> machine;
    };

    struct JobState
    {
        Claim claim;
        std::size_t engine = 0;
        std::size_t entry = 0;
        std::uint32_t bestCached = 0; // longest prefix cached by any engine at dispatch, in tokens
        std::uint32_t reportedTokens = 0;
        TimePoint dispatchedAt {};
        bool running = false;
        bool cancelled = false; // by the entry, which tells the caller the outcome
    };

    struct PrefillTally
    {
        std::uint32_t prefilled = 0;
        std::uint32_t recomputed = 0;
    };

    /// Runs @p action and counts its time as decision time.
    template<class Action>
    void timeDecision(const Action &action)
    {
        const DecisionTimer timer(m_tally.report());
        action();
    }

    // ---- setup

    ConfigurationPtr makeConfiguration() const
    {
        auto configuration = std::make_shared<Configuration>();
        configuration->revision = 1;
        for (const auto &it : m_fleet.regions()) {
            configuration->regions.push_back({RegionName(it)});
            configuration->dataCentres.push_back({DataCentreName("dc-" + it), RegionName(it)});
        }
        std::sort(configuration->regions.begin(), configuration->regions.end());
        std::sort(configuration->dataCentres.begin(), configuration->dataCentres.end());
        for (const auto &it : m_workload.tiers) {
            configuration->tiers.push_back({Tier(it.tier), "tier", fromMillis(it.deadline)});
        }
        configuration->services.push_back({m_service, ServiceKind::Model, ModelName("model"), "1", {}});
        addEntryHosts(*configuration);
        addTargetHosts(*configuration);
        addCustomers(*configuration);
        return configuration;
    }

    void addEntryHosts(Configuration &configuration) const
    {
        for (std::size_t n = 0; n < m_workload.entries; ++n) {
            const DataCentreName dataCentre("dc-" + entryRegion(n));
            configuration.hosts.push_back(
                {HostName(numbered("entry-", n)), dataCentre, HostRole::Entry, {}, {}, ServingState::InService});
        }
    }

    std::size_t hostOf(std::size_t engine) const
    {
        return m_fleet.size() < multiEngineThreshold ? engine : engine / enginesPerHost;
    }

    void addTargetHosts(Configuration &configuration) const
    {
        for (std::size_t n = 0; n < m_fleet.size(); ++n) {
            const HostName host(numbered("host-", hostOf(n)));
            const TargetName target(numbered("target-", hostOf(n)));
            if (configuration.targets.empty() || configuration.targets.back().name != target) {
                const DataCentreName dataCentre("dc-" + m_fleet.regionOf(n));
                configuration.hosts.push_back({host, dataCentre, HostRole::Target, {}, {}, ServingState::InService});
                configuration.targets.push_back({target, host, m_service, ServingState::InService, false});
            }
            const auto &group = m_fleet.engine(n).group();
            configuration.engines.push_back({EngineName(numbered("engine-", n)),
                                             target,
                                             {},
                                             group.name,
                                             static_cast<std::uint32_t>(group.maxBatch),
                                             group.cacheTokens});
        }
    }

    void addCustomers(Configuration &configuration) const
    {
        std::set<CustomerName> names;
        for (const auto &it : m_jobs) {
            names.insert(it.customer);
        }
        for (const auto &it : names) {
            CustomerSpec spec;
            spec.name = it;
            configuration.customers.push_back(spec);
        }
    }

    void makeTargets()
    {
        for (std::size_t n = 0; n < m_fleet.size(); ++n) {
            if (m_targets.size() <= hostOf(n)) {
                auto target = std::make_unique<Target>();
                target->run = this;
                target->region = m_fleet.regionOf(n);
                target->own = {HostName(numbered("host-", hostOf(n))), makeIncarnation(m_random)};
                TargetOptions options;
                options.own = target->own;
                target->machine = std::make_unique<TargetMachine>(options, m_queue.clock(), *target, m_events);
                target->machine->configure(m_configuration);
                m_targetIndex[target->own.incarnation] = m_targets.size();
                m_targets.push_back(std::move(target));
            }
            m_targets[hostOf(n)]->engines.push_back(n);
        }
    }

    const std::string &entryRegion(std::size_t entry) const
    {
        return m_fleet.regions()[entry % m_fleet.regions().size()];
    }

    void startEntry(std::size_t index)
    {
        auto &entry = *m_entries[index];
        entry.run = this;
        entry.index = index;
        entry.region = entryRegion(index);
        entry.own = {HostName(numbered("entry-", index)), makeIncarnation(m_random)};
        entry.random = std::make_unique<SeededRandom>(m_random.next());
        entry.table = std::make_unique<FakeTable>();
        EntryOptions options;
        options.own = entry.own;
        options.region = RegionName(entry.region);
        entry.machine =
            std::make_unique<EntryMachine>(options, m_queue.clock(), *entry.random, *entry.table, entry, m_events);
        entry.machine->configure(m_configuration);
        entry.up = true;
        m_entryIndex[entry.own.incarnation] = index;
        for (auto &it : m_targets) {
            entry.machine->onPeerUp(it->own, HostRole::Target);
            it->machine->onPeerUp(entry.own);
        }
        for (auto &it : m_entries) {
            if (it->up && it->index != index) {
                entry.machine->onPeerUp(it->own, HostRole::Entry);
                it->machine->onPeerUp(entry.own, HostRole::Entry);
            }
        }
    }

    void crashEntry(std::size_t index)
    {
        auto &entry = *m_entries[index];
        const auto own = entry.own;
        entry.up = false;
        entry.machine.reset();
        entry.waiting.clear();
        for (const auto &it : m_jobs) {
            auto &state = m_states[it.index];
            if (it.arrival <= m_queue.now() && state.entry == index) {
                m_tally.lost(it, 0); // no effect on jobs that have an outcome already
            }
        }
        m_queue.after(crashDetectionDelay, [this, own] {
            for (auto &it : m_targets) {
                it->machine->onPeerDown(own);
            }
            for (auto &it : m_entries) {
                if (it->up) {
                    it->machine->onPeerDown(own);
                }
            }
            for (std::size_t n = 0; n < m_states.size(); ++n) {
                if (m_states[n].running && m_states[n].claim.id.entry == own.incarnation) {
                    targetOf(m_states[n].engine).machine->onStreamLost(m_states[n].claim.claim);
                }
            }
        });
    }

    // ---- requests

    void arrive(const Job &job)
    {
        std::vector<Entry *> entries;
        for (auto &it : m_entries) {
            if (it->up && (job.region.empty() || it->region == job.region)) {
                entries.push_back(it.get());
            }
        }
        for (auto &it : m_entries) {
            if (entries.empty() && it->up) {
                entries.push_back(it.get());
            }
        }
        if (entries.empty()) {
            m_tally.refused(job, RefusalReason::NoTarget);
            return;
        }
        auto &entry = *entries[job.balance % entries.size()];
        submit(job, entry);
    }

    void submit(const Job &job, Entry &entry)
    {
        m_states[job.index].entry = entry.index;
        RequestSpec spec;
        spec.id = entry.machine->nextId();
        spec.customer = job.customer;
        spec.service = m_service;
        spec.tier = Tier(job.tier);
        spec.deadline = job.deadline;
        spec.promptTokens = job.promptTokens;
        spec.prefixes = job.blocks;
        spec.fingerprint = job.index + 1;
        spec.bodyBytes = 4 * static_cast<std::uint64_t>(job.promptTokens);
        m_ids[spec.id] = job.index;
        entry.waiting[job.tier].insert(job.index);
        ++m_tally.report().decisions;
        timeDecision([&] { entry.machine->submit(spec); });
    }

    void refused(const RequestId &id, const Refusal &refusal)
    {
        const auto &job = jobOf(id);
        auto &entry = *m_entries[m_states[job.index].entry];
        entry.waiting[job.tier].erase(job.index);
        const bool causedByLoad = isShed(refusal.reason) || refusal.reason == RefusalReason::Expired;
        if (causedByLoad && refusal.verdict == Verdict::NotRun && lowerTierAdmitted(job, entry)) {
            ++m_tally.report().orderViolations;
        }
        m_tally.refused(job, refusal.reason);
    }

    /// @return whether an entry that @p from can reach has a less urgent request waiting or still accepts such a tier
    bool lowerTierAdmitted(const Job &job, const Entry &from) const
    {
        for (const auto &it : m_entries) {
            if (!it->up || !m_network.canReach(from.region, it->region)) {
                continue;
            }
            for (const auto &tier : m_workload.tiers) {
                const auto waiting = it->waiting.find(tier.tier);
                const bool hasWaiting = waiting != it->waiting.end() && !waiting->second.empty();
                if (tier.tier > job.tier && (hasWaiting || it->machine->isTierOpen(m_service, Tier(tier.tier)))) {
                    return true;
                }
            }
        }
        return false;
    }

    void completed(const RequestId &id)
    {
        const auto &job = jobOf(id);
        const auto prefill = m_prefillTallies[job.index];
        m_tally.completed(job, m_queue.now(), prefill.prefilled, prefill.recomputed);
    }

    const Job &jobOf(const RequestId &id) const
    {
        return m_jobs[m_ids.at(id)];
    }

    void dispatch(const Claim &claim)
    {
        const auto &job = jobOf(claim.id);
        auto &state = m_states[job.index];
        m_tally.dispatched(job);
        const auto bestCached = static_cast<std::uint32_t>(m_fleet.bestCachedBlocks(job)) * prefixBlockTokens;
        state.claim = claim;
        state.engine = std::stoul(claim.engine.text().substr(claim.engine.text().find('-') + 1));
        state.bestCached = std::min(bestCached, job.promptTokens);
        state.dispatchedAt = m_queue.now();
        state.running = true;
        m_queue.after({}, [this, &job, engine = state.engine] { m_fleet.engine(engine).dispatch(job); });
    }

    void cancelRun(const ClaimId &claim)
    {
        for (std::size_t n = 0; n < m_states.size(); ++n) {
            if (m_states[n].running && m_states[n].claim.claim == claim) {
                m_states[n].cancelled = true;
                m_queue.after({}, [this, n] { m_fleet.engine(m_states[n].engine).cancel(m_jobs[n]); });
            }
        }
    }

    // ---- messages

    void sendFromEntry(const Entry &from, const Peer &to, const Message &message)
    {
        const auto target = m_targetIndex.find(to.incarnation);
        const auto sender = from.own;
        if (target != m_targetIndex.end()) {
            auto &receiver = *m_targets[target->second];
            m_network.send(from.region, receiver.region, sizeOf(from.region, receiver.region, message), [=, &receiver] {
                timeDecision([&] { receiver.machine->onMessage(sender, message); });
            });
            return;
        }
        const auto index = m_entryIndex.find(to.incarnation);
        if (index == m_entryIndex.end()) {
            return;
        }
        const auto &region = m_entries[index->second]->region;
        m_network.send(
            from.region, region, sizeOf(from.region, region, message), [=] { deliverToEntry(sender, to, message); });
    }

    void sendFromTarget(const Target &from, const Peer &to, const Message &message)
    {
        const auto index = m_entryIndex.find(to.incarnation);
        if (index == m_entryIndex.end()) {
            return;
        }
        const auto sender = from.own;
        const auto &region = m_entries[index->second]->region;
        m_network.send(
            from.region, region, sizeOf(from.region, region, message), [=] { deliverToEntry(sender, to, message); });
    }

    void deliverToEntry(const Peer &from, const Peer &to, const Message &message)
    {
        auto &entry = *m_entries[m_entryIndex.at(to.incarnation)];
        if (entry.up && entry.own == to) {
            timeDecision([&] { entry.machine->onMessage(from, message); });
        }
    }

    void handOver(Entry &from, const Peer &to, const RequestId &id, const ClaimId &claim)
    {
        const auto &job = jobOf(id);
        from.waiting[job.tier].erase(job.index);
        auto &receiver = *m_targets[m_targetIndex.at(to.incarnation)];
        const auto sender = from.own;
        const HandOver message {id, claim, "POST", "/", {}, ""};
        const std::size_t bytes = 200 + 4 * static_cast<std::size_t>(job.promptTokens);
        m_network.send(from.region, receiver.region, bytes, [=, &receiver] {
            timeDecision([&] { receiver.machine->onMessage(sender, message); });
        });
    }

    void sendEnd(std::size_t engine, const AnswerEnd &end, std::size_t bytes)
    {
        const auto index = m_entryIndex.find(end.id.entry);
        if (index == m_entryIndex.end()) {
            return;
        }
        auto &target = targetOf(engine);
        const auto sender = target.own;
        const Peer to = m_entries[index->second]->own;
        if (to.incarnation != end.id.entry) {
            return;
        }
        m_network.send(
            target.region, m_entries[index->second]->region, bytes, [=] { deliverToEntry(sender, to, end); });
    }

    static std::size_t sizeOf(const std::string &from, const std::string &to, const Message &message)
    {
        return from == to ? 0 : encode(message).size();
    }

    Target &targetOf(std::size_t engine)
    {
        return *m_targets[hostOf(engine)];
    }

    // ---- periodic work

    void tick()
    {
        const bool reports = ++m_ticks % 2 == 0;
        for (std::size_t n = 0; n < m_fleet.size(); ++n) {
            reportEngineUp(n);
            if (reports) {
                reportEngineLoad(n);
            }
        }
        for (auto &it : m_targets) {
            timeDecision([&] { it->machine->tick(); });
        }
        for (auto &it : m_entries) {
            if (it->up) {
                it->table->deliver();
                timeDecision([&] { it->machine->tick(); });
            }
        }
        m_queue.after(tickInterval, [this] { tick(); });
    }

    void reportEngineUp(std::size_t n)
    {
        const bool up = m_fleet.engine(n).isUp();
        if (up != m_lastReportedUp[n]) {
            m_lastReportedUp[n] = up;
            timeDecision([&] { targetOf(n).machine->setEngineUp(EngineName(numbered("engine-", n)), up); });
        }
    }

    void reportEngineLoad(std::size_t n)
    {
        auto &engine = m_fleet.engine(n);
        const EngineName name(numbered("engine-", n));
        for (const auto &[job, tokens] : engine.progress()) {
            reportNewTokens(m_jobs[job], static_cast<std::uint32_t>(tokens));
        }
        const auto running = static_cast<std::uint32_t>(engine.running());
        const auto waiting = static_cast<std::uint32_t>(engine.waiting());
        m_queue.after(fromMillis(m_workload.reportLag),
                      [=] { timeDecision([&] { targetOf(n).machine->onEngineLoad(name, running, waiting); }); });
        std::vector<PrefixHash> cached;
        std::vector<PrefixHash> evicted;
        engine.cache().takeChanges(cached, evicted);
        const bool eventLost = m_random.nextDouble() < cacheEventLossRate;
        if (!eventLost && (!cached.empty() || !evicted.empty())) {
            m_queue.after(cacheEventDelay,
                          [=] { timeDecision([&] { targetOf(n).machine->onCacheEvent(name, cached, evicted); }); });
        }
    }

    void reportNewTokens(const Job &job, std::uint32_t tokens)
    {
        auto &state = m_states[job.index];
        if (tokens > state.reportedTokens) {
            const auto count = tokens - state.reportedTokens;
            state.reportedTokens = tokens;
            timeDecision([&] { targetOf(state.engine).machine->onTokens(state.claim.claim, count); });
        }
    }

    const Workload &m_workload;
    SeededRandom m_random;
    EventQueue m_queue;
    Network m_network;
    Fleet m_fleet;
    std::vector<Job> m_jobs;
    Tally m_tally;
    std::vector<JobState> m_states;
    std::vector<bool> m_lastReportedUp;
    NullEventLog m_events;
    ServiceName m_service {"service"};
    ConfigurationPtr m_configuration;
    std::vector<std::unique_ptr<Target>> m_targets;
    std::vector<std::unique_ptr<Entry>> m_entries;
    std::unordered_map<Incarnation, std::size_t> m_targetIndex;
    std::unordered_map<Incarnation, std::size_t> m_entryIndex;
    std::unordered_map<RequestId, std::size_t> m_ids;
    std::unordered_map<std::size_t, PrefillTally> m_prefillTallies;
    std::uint64_t m_ticks = 0;
};

} // namespace

Report runMonsoonward(const Workload &workload, std::uint64_t seed)
{
    return MonsoonwardRun(workload, seed).run();
}

} // namespace monsoonward::bench
