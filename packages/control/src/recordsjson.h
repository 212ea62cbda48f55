#pragma once

#include "records.h"

#include <nlohmann/json.hpp>

/// JSON conversions of the records, used for stored rows and for responses to operators.
namespace monsoonward
{

NLOHMANN_JSON_SERIALIZE_ENUM(EditKind,
                             {{EditKind::Apply, "apply"},
                              {EditKind::SetHostState, "set-host-state"},
                              {EditKind::SetTargetState, "set-target-state"},
                              {EditKind::RemoveHost, "remove-host"},
                              {EditKind::SetTargetService, "set-target-service"},
                              {EditKind::SetServiceVersion, "set-service-version"},
                              {EditKind::SetLimit, "set-limit"},
                              {EditKind::AddKey, "add-key"},
                              {EditKind::RemoveKey, "remove-key"}})
NLOHMANN_JSON_SERIALIZE_ENUM(StepKind,
                             {{StepKind::Change, "change"},
                              {StepKind::WaitInForce, "wait-in-force"},
                              {StepKind::WaitDrained, "wait-drained"}})
NLOHMANN_JSON_SERIALIZE_ENUM(PlanState,
                             {{PlanState::Proposed, "proposed"},
                              {PlanState::Executing, "executing"},
                              {PlanState::Done, "done"},
                              {PlanState::Aborted, "aborted"}})
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(HeadRecord, revision, hash, snapshot, snapshotObject)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Edit, kind, subject, value)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Step, kind, text, edits, targets)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CapacityLine, service, tier, before, during, after, waiting)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(GuaranteeViolation, reason, detail)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Intent, kind, subject, value, overrides)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PlanRecord,
                                   id,
                                   base,
                                   intent,
                                   steps,
                                   changes,
                                   capacity,
                                   requestsTouched,
                                   broken,
                                   undo,
                                   createdBy,
                                   createdAt,
                                   expiresAt,
                                   state,
                                   confirmedBy,
                                   confirmedAt,
                                   confirmation,
                                   revision,
                                   outcome)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ExecutionRecord, plan, holder, holderHost, step, revision, renewals)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LogRecord, revision, who, at, what, plan, overrides)

} // namespace monsoonward
