#pragma once

#include "membership.h"
#include "records.h"

namespace monsoonward
{

/// @brief Steps and undo of an intent.
struct PlannedSteps
{
    std::vector<Step> steps;
    std::string undo;
    MONSOONWARD_FIELDS(steps, undo)
};

/// @return the steps of an intent other than "declare". Errors: NotFound, Invalid.
///
///     drain-host HOST, return-host HOST, remove-host HOST, drain-target TARGET, return-target TARGET,
///     set-limit CUSTOMER key=number, set-version SERVICE VERSION, move-target TARGET SERVICE,
///     add-key CUSTOMER HASH, remove-key CUSTOMER HASH
Result<PlannedSteps> stepsOf(const Intent &intent, const Configuration &base);

/// @return the steps that turn @p base into @p desired
PlannedSteps stepsOf(const Configuration &base, const Configuration &desired);

/// Fills in changes, capacity, requestsTouched and broken from the steps of @p plan.
/// @return Invalid when a step can't be applied
Result<void> addEffects(PlanRecord &plan, const Configuration &base, const Membership &membership);

} // namespace monsoonward
