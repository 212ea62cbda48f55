#pragma once

#include "committer.h"

#include <map>

namespace monsoonward
{

/// @brief Executes confirmed plans whose lease this daemon holds, and takes over plans whose holder stopped renewing.
///
/// The lease is the plan's execution row. Every step is written together with that row, under the condition that its
/// version is the one that the holder knows: a holder that was paused past its lease can't do a step twice.
class PlanExecutor
{
public:
    PlanExecutor(const ControlOptions &options,
                 const Clock &clock,
                 GuardedStore &store,
                 Distribution &distribution,
                 Membership &membership,
                 Committer &committer,
                 EventLog &events);

    void tick();
    /// Looks for plans to execute as soon as possible.
    void scanNow();
    /// @return what each plan that this daemon executes waits for, by plan ID
    std::map<std::string, std::string> waits() const;

    /// @return what @p step waits for after @p revision was accepted, or nothing when it is done
    std::string waitOf(const Step &step, Revision revision) const;

private:
    /// A plan that another daemon executes, as last seen.
    struct ObservedLease
    {
        std::uint64_t version = 0;
        TimePoint since; ///< when that version was first seen
    };
    struct LeasedPlan
    {
        PlanRecord plan;
        ExecutionRecord execution;
        std::uint64_t version = 0; ///< of the execution row; the fencing number
        TimePoint leaseEnd;
        std::string wait;
        bool storeCallPending = false;
    };

    void scan();
    void checkLease(const Row &row);
    void acquireLease(const Row &row, ExecutionRecord execution);
    void load(const ExecutionRecord &execution);
    void onLoaded(const ExecutionRecord &execution, const Row &executionRow, const Row &planRow);
    void runStep(const std::string &id);
    void applyStep(LeasedPlan &leased, const Step &step);
    void advance(const std::string &id, const ExecutionRecord &next);
    /// Writes the plan's last state and removes its execution row.
    void finish(const std::string &id, PlanState state, const std::string &outcome);
    void stepDone(const std::string &id, const ExecutionRecord &next, const Result<void> &result);
    void releaseAndRescan(const std::string &id);
    void release(const std::string &id);
    bool isOwn(const ExecutionRecord &execution) const;
    std::string waitForRevision(Revision revision) const;
    std::string waitForDrain(const std::vector<std::string> &targets) const;
    /// @return targets of @p step that get work again although the plan waits for them to drain: another plan gave it
    std::vector<std::string> returnedTargets(const Step &step, Revision revision) const;

    const ControlOptions &m_options;
    const Clock &m_clock;
    GuardedStore &m_store;
    Distribution &m_distribution;
    Membership &m_membership;
    Committer &m_committer;
    EventLog &m_events;
    std::map<std::string, LeasedPlan> m_leasedPlans;
    std::map<std::string, ObservedLease> m_observedLeases;
    bool m_scanning = false;
    bool m_scanWanted = true; ///< scan although another daemon leads the region
    TimePoint m_nextScan;
};

} // namespace monsoonward
