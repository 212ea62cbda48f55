#pragma once

#include "confirmation.h"
#include "operators.h"
#include "planexecutor.h"

namespace monsoonward
{

/// @brief Handles operator requests. docs/OPERATOR-API.md documents the paths.
class OperatorApi
{
public:
    using Callback = ControlNode::ReplyCallback;

    OperatorApi(const ControlOptions &options,
                const WallClock &wallClock,
                Random &random,
                GuardedStore &store,
                Distribution &distribution,
                Membership &membership,
                Confirmation &confirmation,
                PlanExecutor &executor,
                EventLog &events);

    void handle(const OperatorRequest &request, const Callback &done);
    /// @return the revision of each daemon, and what the plans that this daemon executes wait for, as JSON text
    std::string statusText() const;

private:
    void route(const OperatorRequest &request, const OperatorIdentity &who, const Callback &done);
    void createPlan(const OperatorRequest &request, const OperatorIdentity &who, const Callback &done);
    void storePlan(const PlanRecord &plan, const Callback &done);
    void
    confirm(const std::string &id, const OperatorRequest &request, const OperatorIdentity &who, const Callback &done);
    void abort(const std::string &id, const OperatorIdentity &who, const Callback &done);
    void abortExecution(const PlanRecord &plan,
                        const Row &planRow,
                        const Row &executionRow,
                        const OperatorIdentity &who,
                        const Callback &done);
    void showPlan(const std::string &id, const Callback &done);
    void showStatus(const Callback &done);
    void showLog(const std::string &path, const Callback &done);
    void exportDeclarations(const Callback &done);
    void showDiff(const OperatorRequest &request, const Callback &done);

    const ControlOptions &m_options;
    const WallClock &m_wallClock;
    Random &m_random;
    GuardedStore &m_store;
    Distribution &m_distribution;
    Membership &m_membership;
    Confirmation &m_confirmation;
    PlanExecutor &m_executor;
    EventLog &m_events;
};

} // namespace monsoonward
