#pragma once

#include "committer.h"

#include <map>

namespace monsoonward
{

/// @brief Executes the confirmed plans that this daemon holds a lease for, and takes over plans whose holder stopped
/// renewing its lease.
///
/// The lease of a plan is its execution row. Every step is written in one transaction with that row, which fails unless
/// the row still has the version that the holder knows. So a holder that was paused until its lease expired cannot
/// repeat a step.
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
    /// Schedules a scan for plans to execute at the next tick.
    void scanNow();
    /// @return what the current step of each plan that this daemon executes waits for, by plan ID
    std::map<std::string, std::string> waits() const;

    /// @return what @p step waits for, or an empty string if it is done
    /// @param revision the revision of the last change that the plan made
    std::string waitOf(const Step &step, Revision revision) const;

private:
    /// Version of an execution row at the last scan.
    struct ObservedLease
    {
        std::uint64_t version = 0;
        TimePoint since; ///< when the row was first seen with that version
    };
    /// A plan whose lease this daemon holds.
    struct LeasedPlan
    {
        PlanRecord plan;
        ExecutionRecord execution;
        std::uint64_t version = 0; ///< of the execution row; serves as the fencing token
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
    /// Writes the final state of the plan and removes its execution row.
    void finish(const std::string &id, PlanState state, const std::string &outcome);
    void stepDone(const std::string &id, const ExecutionRecord &next, const Result<void> &result);
    void forgetAndRescan(const std::string &id);
    void forgetPlan(const std::string &id);
    bool isOwn(const ExecutionRecord &execution) const;
    std::string waitForRevision(Revision revision) const;
    std::string waitForDrain(const std::vector<std::string> &targets) const;
    /// @return targets that @p step waits to drain, but that another plan has returned to service
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
    bool m_scanWanted = true; ///< scan even if another daemon leads the region
    TimePoint m_nextScan;
};

} // namespace monsoonward
