#pragma once

#include "membership.h"
#include "records.h"

namespace monsoonward
{

/// @brief The steps of a plan, and how an operator can undo them.
struct PlannedSteps
{
    std::vector<Step> steps;
    std::string undo;
    MONSOONWARD_FIELDS(steps, undo)
};

/// @return the steps for an intent of any kind except "declare". Errors: NotFound, Invalid.
///
///     drain-host HOST, return-host HOST, remove-host HOST, drain-target TARGET, return-target TARGET,
///     set-limit CUSTOMER key=number, set-version SERVICE VERSION, move-target TARGET SERVICE,
///     add-key CUSTOMER HASH, remove-key CUSTOMER HASH
Result<PlannedSteps> planSteps(const Intent &intent, const Configuration &base);

/// @return the steps for a "declare" intent, which turn @p base into @p desired
PlannedSteps planSteps(const Configuration &base, const Configuration &desired);

/// Computes changes, capacity, requestsTouched and broken of @p plan from its steps. Errors: NotFound, Invalid (a step
/// cannot be applied).
Result<void> computeEffects(PlanRecord &plan, const Configuration &base, const Membership &membership);

} // namespace monsoonward
