#include "runs.h"

#include <monsoonward/policy/policy.h>

#include <algorithm>

namespace monsoonward::bench
{

namespace
{

/// @brief The input of a baseline policy. It favours the baselines: they know of a crashed engine at once.
struct RoutingView
{
    const Job &job;
    const std::vector<std::size_t> &usable;
    const std::vector<std::size_t> &outstanding; ///< requests of the choosing entry in progress, by engine
    const std::vector<std::size_t> &reported; ///< requests at each engine according to its last load report
    Fleet &fleet;
    Random &random;
};

/// @brief A baseline policy: chooses an engine for an arriving request.
class Router
{
public:
    virtual ~Router() = default;
    virtual std::size_t choose(const RoutingView &view) = 0;
};

/// @return the engine of @p usable with the lowest load; ties are broken at random
std::size_t leastLoaded(const std::vector<std::size_t> &usable, const std::vector<std::size_t> &load, Random &random)
{
    std::size_t best = usable[0];
    std::size_t ties = 0;
    for (const auto it : usable) {
        if (load[it] < load[best]) {
            best = it;
            ties = 1;
        } else if (load[it] == load[best] && random.nextBelow(++ties) == 0) {
            best = it;
        }
    }
    return best;
}

class RandomRouter : public Router
{
public:
    std::size_t choose(const RoutingView &view) override
    {
        return view.usable[view.random.nextBelow(view.usable.size())];
    }
};

class RoundRobinRouter : public Router
{
public:
    std::size_t choose(const RoutingView &view) override
    {
        return view.usable[m_next++ % view.usable.size()];
    }

private:
    std::size_t m_next = 0;
};

class LeastReportedLoadRouter : public Router
{
public:
    std::size_t choose(const RoutingView &view) override
    {
        return leastLoaded(view.usable, view.reported, view.random);
    }
};

class LeastOutstandingRouter : public Router
{
public:
    std::size_t choose(const RoutingView &view) override
    {
        return leastLoaded(view.usable, view.outstanding, view.random);
    }
};

class PowerOfTwoRouter : public Router
{
public:
    std::size_t choose(const RoutingView &view) override
    {
        const auto a = view.usable[view.random.nextBelow(view.usable.size())];
        const auto b = view.usable[view.random.nextBelow(view.usable.size())];
        return view.outstanding[b] < view.outstanding[a] ? b : a;
    }
};

/// @brief Prefers the engine with the longest cached prefix unless it is overloaded. It reads the engines' caches
/// directly, which favours this baseline.
class PrefixLeastOutstandingRouter : public Router
{
public:
    std::size_t choose(const RoutingView &view) override
    {
        const auto least = leastLoaded(view.usable, view.outstanding, view.random);
        std::size_t holder = least;
        std::size_t held = 0;
        for (const auto it : view.usable) {
            const auto n = view.fleet.engine(it).cache().cachedPrefixBlocks(view.job.blocks);
            if (n > held || (n == held && n > 0 && view.outstanding[it] < view.outstanding[holder])) {
                held = n;
                holder = it;
            }
        }
        const double limit = 1.25 * static_cast<double>(view.outstanding[least]) + 2;
        return static_cast<double>(view.outstanding[holder]) > limit ? least : holder;
    }
};

std::unique_ptr<Router> makeRouter(const std::string &policy)
{
    if (policy == "random") {
        return std::make_unique<RandomRouter>();
    }
    if (policy == "round-robin") {
        return std::make_unique<RoundRobinRouter>();
    }
    if (policy == "least-reported-load") {
        return std::make_unique<LeastReportedLoadRouter>();
    }
    if (policy == "least-outstanding") {
        return std::make_unique<LeastOutstandingRouter>();
    }
    if (policy == "power-of-two") {
        return std::make_unique<PowerOfTwoRouter>();
    }
    return std::make_unique<PrefixLeastOutstandingRouter>();
}

/// @brief Simulates entries that send each request to an engine as soon as it arrives.
class BaselineRun : public EngineListener
{
public:
    BaselineRun(const std::string &policy, const Workload &workload, std::uint64_t seed)
        : m_workload(workload)
        , m_random(seed)
        , m_network(workload, m_queue)
        , m_fleet(workload, m_queue, *this)
        , m_jobs(makeTrace(workload, m_queue.now(), seed))
        , m_tally(m_jobs, policy, seed)
        , m_placements(m_jobs.size())
        , m_reportedLoad(m_fleet.size())
        , m_entries(workload.entries)
    {
        for (auto &it : m_entries) {
            it.router = makeRouter(policy);
            it.outstanding.resize(m_fleet.size());
        }
    }

    Report run()
    {
        for (const auto &it : m_jobs) {
            m_queue.at(it.arrival, [this, &it] { arrive(it); });
        }
        scheduleEntryCrashes();
        report();
        m_queue.runUntil(m_queue.now() + runDuration(m_workload));
        auto &report = m_tally.report();
        report.prefillTokens = m_fleet.prefilledTokens();
        report.messages = m_network.messages();
        report.crossRegionBytes = m_network.crossRegionBytes();
        return report;
    }

    void firstToken(std::size_t /*engine*/, const Job & /*job*/) override
    {
    }

    void finished(std::size_t engine, const Job &job, std::uint32_t cachedTokens) override
    {
        const auto placement = m_placements[job.index];
        const auto cachedElsewhere = placement.bestCached > cachedTokens ? placement.bestCached - cachedTokens : 0;
        const auto prefilled = job.promptTokens - cachedTokens;
        m_network.send(m_fleet.regionOf(engine), entryRegion(placement.entry), answerBytes(job), [=, &job] {
            removeOutstanding(job, engine);
            m_tally.completed(job, m_queue.now(), prefilled, std::min(cachedElsewhere, prefilled));
        });
    }

    void lost(std::size_t engine, const Job &job, std::uint32_t prefilled) override
    {
        removeOutstanding(job, engine);
        m_tally.lost(job, prefilled);
    }

private:
    struct Entry
    {
        std::unique_ptr<Router> router;
        std::vector<std::size_t> outstanding;
        bool up = true;
    };

    struct Placement
    {
        std::size_t entry = 0;
        std::size_t engine = 0;
        std::uint32_t bestCached = 0; // longest prefix cached by any engine at placement, in tokens
        bool outstanding = false;
    };

    static std::size_t answerBytes(const Job &job)
    {
        return 200 + 4 * static_cast<std::size_t>(job.outputTokens);
    }

    const std::string &entryRegion(std::size_t entry) const
    {
        return m_fleet.regions()[entry % m_fleet.regions().size()];
    }

    void arrive(const Job &job)
    {
        std::vector<std::size_t> entries;
        for (std::size_t n = 0; n < m_entries.size(); ++n) {
            if (m_entries[n].up && (job.region.empty() || entryRegion(n) == job.region)) {
                entries.push_back(n);
            }
        }
        for (std::size_t n = 0; n < m_entries.size() && entries.empty(); ++n) {
            if (m_entries[n].up) {
                entries.push_back(n);
            }
        }
        if (entries.empty()) {
            m_tally.refused(job, RefusalReason::NoTarget);
            return;
        }
        // Stands for a load balancer in front of the entries.
        place(job, entries[job.balance % entries.size()]);
    }

    void place(const Job &job, std::size_t index)
    {
        auto &entry = m_entries[index];
        std::vector<std::size_t> usable;
        for (std::size_t n = 0; n < m_fleet.size(); ++n) {
            if (m_fleet.engine(n).isUp() && m_network.canReach(entryRegion(index), m_fleet.regionOf(n))) {
                usable.push_back(n);
            }
        }
        if (usable.empty()) {
            m_tally.refused(job, RefusalReason::NoTarget);
            return;
        }
        std::size_t engine = 0;
        {
            const DecisionTimer timer(m_tally.report());
            engine = entry.router->choose({job, usable, entry.outstanding, m_reportedLoad, m_fleet, m_random});
        }
        ++m_tally.report().decisions;
        ++entry.outstanding[engine];
        const auto bestCached = static_cast<std::uint32_t>(m_fleet.bestCachedBlocks(job)) * prefixBlockTokens;
        m_placements[job.index] = {index, engine, std::min(bestCached, job.promptTokens), true};
        const std::size_t bytes = 200 + 4 * static_cast<std::size_t>(job.promptTokens);
        m_network.send(entryRegion(index), m_fleet.regionOf(engine), bytes, [this, &job, engine] {
            if (m_placements[job.index].outstanding) {
                m_tally.dispatched(job);
                m_fleet.engine(engine).dispatch(job);
            }
        });
    }

    void removeOutstanding(const Job &job, std::size_t engine)
    {
        auto &placement = m_placements[job.index];
        if (placement.outstanding) {
            placement.outstanding = false;
            --m_entries[placement.entry].outstanding[engine];
        }
    }

    void report()
    {
        std::vector<std::size_t> load;
        for (std::size_t n = 0; n < m_fleet.size(); ++n) {
            load.push_back(m_fleet.engine(n).running() + m_fleet.engine(n).waiting());
        }
        m_queue.after(fromMillis(m_workload.reportLag), [this, load] { m_reportedLoad = load; });
        m_queue.after(std::chrono::milliseconds(100), [this] { report(); });
    }

    void scheduleEntryCrashes()
    {
        for (const auto &it : m_workload.entryCrashes) {
            for (std::size_t n = 0; n < std::min(it.count, m_entries.size()); ++n) {
                m_queue.after(fromMillis(it.at), [this, n] { crashEntry(n); });
                m_queue.after(fromMillis(it.at + it.restart), [this, n] { m_entries[n].up = true; });
            }
        }
    }

    void crashEntry(std::size_t entry)
    {
        m_entries[entry].up = false;
        for (const auto &it : m_jobs) {
            auto &placement = m_placements[it.index];
            if (placement.outstanding && placement.entry == entry) {
                m_fleet.engine(placement.engine).cancel(it);
                removeOutstanding(it, placement.engine);
                m_tally.lost(it, 0);
            }
        }
    }

    const Workload &m_workload;
    SeededRandom m_random;
    EventQueue m_queue;
    Network m_network;
    Fleet m_fleet;
    std::vector<Job> m_jobs;
    Tally m_tally;
    std::vector<Placement> m_placements;
    std::vector<std::size_t> m_reportedLoad;
    std::vector<Entry> m_entries;
};

} // namespace

const std::vector<std::string> &baselineNames()
{
    static const std::vector<std::string> names {"random",
                                                 "round-robin",
                                                 "least-reported-load",
                                                 "least-outstanding",
                                                 "power-of-two",
                                                 "prefix-least-outstanding"};
    return names;
}

Report runBaseline(const std::string &policy, const Workload &workload, std::uint64_t seed)
{
    return BaselineRun(policy, workload, seed).run();
}

} // namespace monsoonward::bench
