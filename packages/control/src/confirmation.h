#pragma once

#include "committer.h"

#include <list>

namespace monsoonward
{

/// @brief What an operator is told of a confirmation.
enum class ConfirmOutcome {
    Accepted, ///< The plan's first change is accepted.
    NotAccepted, ///< It is not and never will be by this confirmation.
    Unavailable, ///< The store does not answer; nothing was written.
    Unknown, ///< The store's answer was lost, and reading back failed, too.
    NotFound,
    Refused, ///< The plan would break a promise.
};

struct ConfirmReply
{
    ConfirmOutcome outcome = ConfirmOutcome::Unknown;
    std::string message;
    PlanRecord plan;
    MONSOONWARD_FIELDS(outcome, message, plan)
};

/// @brief Makes plans take effect, each at most once. An answer of the store that was lost is settled by reading back
/// and, when the write has not shown, by a write that makes it impossible for it to take effect any more.
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
        PlanRecord plan; ///< as it is after the confirmation
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
