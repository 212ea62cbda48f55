#pragma once

#include "committer.h"

#include <list>

namespace monsoonward
{

/// @brief Result of confirming a plan.
enum class ConfirmOutcome {
    Accepted, ///< The first change of the plan was committed.
    NotAccepted, ///< It was not committed, and this confirmation can no longer commit it.
    Unavailable, ///< The store does not respond; nothing was written.
    Unknown, ///< The response to the write was lost, and reading the plan back failed too.
    NotFound,
    Refused, ///< The plan would violate a guarantee that the operator did not override.
};

struct ConfirmReply
{
    ConfirmOutcome outcome = ConfirmOutcome::Unknown;
    std::string message;
    PlanRecord plan;
    MONSOONWARD_FIELDS(outcome, message, plan)
};

/// @brief Confirms plans: commits the first change of a plan, at most once. If the response to the write is lost, reads
/// the plan back. If the write is not visible, writes the row again, so that its version rises and the lost write can
/// no longer take effect.
class Confirmation
{
public:
    using Callback = std::function<void(const ConfirmReply &)>;

    Confirmation(const ControlOptions &options,
                 const Clock &clock,
                 const WallClock &wallClock,
                 Random &random,
                 GuardedStore &store,
                 Distribution &distribution,
                 Membership &membership,
                 Committer &committer,
                 EventLog &events);

    void confirm(const std::string &id,
                 const std::string &who,
                 const std::vector<std::string> &overrides,
                 const Callback &done);
    void tick();

private:
    struct Attempt
    {
        PlanRecord plan; ///< as it will be stored if the confirmation succeeds
        std::string nonce;
        Callback done;
        TimePoint giveUpAt;
        TimePoint nextTry;
        bool storeCallPending = false;
    };
    using AttemptPtr = std::shared_ptr<Attempt>;

    void
    onPlanRead(const Row &row, const std::string &who, const std::vector<std::string> &overrides, const Callback &done);
    bool refuseUnsafePlan(PlanRecord &plan, const std::vector<std::string> &overrides, const Callback &done);
    std::vector<std::string> unreachableRegions(const Configuration &configuration) const;
    void commit(const Row &row, const PlanRecord &plan, const Callback &done);
    void onCommitted(const AttemptPtr &attempt, const Result<Revision> &result);
    void replyWithLaterChanges(const PlanRecord &plan, const std::string &message, const Callback &done);
    void resolve(const AttemptPtr &attempt);
    void resolveFromRow(const AttemptPtr &attempt, const std::optional<Row> &row);
    void accept(const AttemptPtr &attempt);
    void finish(const AttemptPtr &attempt, const ConfirmReply &reply);

    const ControlOptions &m_options;
    const Clock &m_clock;
    const WallClock &m_wallClock;
    Random &m_random;
    GuardedStore &m_store;
    Distribution &m_distribution;
    Membership &m_membership;
    Committer &m_committer;
    EventLog &m_events;
    std::list<AttemptPtr> m_unresolved;
};

} // namespace monsoonward
