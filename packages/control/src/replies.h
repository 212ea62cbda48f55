#pragma once

#include "confirmation.h"

#include <monsoonward/ini/ini.h>

/// Builders for responses to operators.
namespace monsoonward::replies
{

OperatorReply error(unsigned status, const std::string &message);
OperatorReply errors(const std::vector<IniError> &errors);
OperatorReply unavailable(const std::string &message);
OperatorReply noChanges(Revision revision);
OperatorReply plan(const PlanRecord &plan);
/// @param wait what the current step of the plan waits for
OperatorReply
planProgress(const PlanRecord &plan, const std::optional<ExecutionRecord> &execution, const std::string &wait);
OperatorReply confirmation(const ConfirmReply &reply);
OperatorReply abortFailed(const std::string &id, const Error &error);

} // namespace monsoonward::replies
