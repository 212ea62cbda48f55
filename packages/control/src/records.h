#pragma once

#include "change.h"

#include <cstdint>
#include <string>
#include <vector>

/// Rows of the control package in the table service, and their encoding as JSON text.
///
///     config/head             HeadRecord
///     config/delta/REVISION   encodeDelta() of the change that created the revision
///     plan/ID                 PlanRecord
///     execution/ID            ExecutionRecord; exists while the plan is executing
///     log/REVISION/ID         LogRecord
namespace monsoonward
{

/// @brief The current revision, and where its newest snapshot is.
struct HeadRecord
{
    Revision revision = 0;
    ContentHash hash = 0;
    Revision snapshot = 0; ///< revision of the newest snapshot; 0: none, and all deltas from revision 1 on exist
    std::string snapshotObject;
    MONSOONWARD_FIELDS(revision, hash, snapshot, snapshotObject)
};

enum class EditKind {
    Apply, ///< value: hexadecimal encodeDelta(); only allowed in the first change of a plan
    SetHostState, ///< value: in-service or draining
    SetTargetState,
    RemoveHost, ///< together with its targets and their engines
    SetTargetService, ///< value: the service
    SetServiceVersion, ///< value: the version
    SetLimit, ///< value: key=number
    AddKey, ///< value: the hash
    RemoveKey,
};

/// @brief One edit of the configuration. Edits set absolute values, so applying one repeatedly has no further effect.
struct Edit
{
    EditKind kind = EditKind::Apply;
    std::string subject;
    std::string value;
    MONSOONWARD_FIELDS(kind, subject, value)
};

enum class StepKind {
    Change, ///< commits the edits
    WaitInForce, ///< waits until every daemon has adopted the last change
    WaitDrained, ///< waits until no request is in progress at the targets
};

struct Step
{
    StepKind kind = StepKind::Change;
    std::string text; ///< description for operators
    std::vector<Edit> edits;
    std::vector<std::string> targets;
    MONSOONWARD_FIELDS(kind, text, edits, targets)
};

/// @brief Slots of a service and waiting requests of one tier. All tiers share the slots; higher tiers go first.
struct CapacityLine
{
    std::string service;
    unsigned tier = 0;
    std::uint64_t before = 0; ///< slots of targets in service before the plan
    std::uint64_t during = 0; ///< minimum over all steps
    std::uint64_t after = 0;
    std::uint64_t waiting = 0; ///< requests of the tier that were waiting when the plan was computed
    MONSOONWARD_FIELDS(service, tier, before, during, after, waiting)
};

/// @brief A guarantee that a plan would violate.
struct GuaranteeViolation
{
    std::string reason; ///< stable name, which operators use to override it
    std::string detail;
    MONSOONWARD_FIELDS(reason, detail)
};

struct Intent
{
    std::string kind;
    std::string subject;
    std::string value;
    std::vector<std::string> overrides; ///< reasons of violations that the operator accepts
    MONSOONWARD_FIELDS(kind, subject, value, overrides)
};

enum class PlanState { Proposed, Executing, Done, Aborted };

struct PlanRecord
{
    std::string id;
    Revision base = 0;
    Intent intent;
    std::vector<Step> steps;
    std::vector<std::string> changes; ///< descriptions of changed entries, for operators
    std::vector<CapacityLine> capacity;
    std::uint64_t requestsTouched = 0; ///< requests in progress at the affected targets when the plan was computed
    std::vector<GuaranteeViolation> broken;
    std::string undo;
    std::string createdBy;
    std::int64_t createdAt = 0; ///< milliseconds since 1970
    std::int64_t expiresAt = 0;
    PlanState state = PlanState::Proposed;
    std::string confirmedBy;
    std::int64_t confirmedAt = 0;
    std::string confirmation; ///< random nonce that identifies the confirmation that took effect
    Revision revision = 0; ///< revision that the confirmation created
    std::string outcome; ///< for operators, once done or aborted: which steps took effect
    MONSOONWARD_FIELDS(id,
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
};

/// @brief Progress of a plan, and the lease of the daemon that executes it. The version of the row serves as the
/// fencing token.
struct ExecutionRecord
{
    std::string plan;
    std::string holder; ///< incarnation of the daemon that holds the lease
    std::string holderHost;
    std::uint64_t step = 0; ///< index of the next step
    Revision revision = 0; ///< of the last change that the plan made
    std::uint64_t renewals = 0;
    MONSOONWARD_FIELDS(plan, holder, holderHost, step, revision, renewals)
};

/// @brief One entry of the operator log.
struct LogRecord
{
    Revision revision = 0;
    std::string who;
    std::int64_t at = 0; ///< milliseconds since 1970
    std::string what;
    std::string plan;
    std::vector<std::string> overrides;
    MONSOONWARD_FIELDS(revision, who, at, what, plan, overrides)
};

inline const std::string headKey = "config/head";
inline const std::string deltaPrefix = "config/delta/";
inline const std::string planPrefix = "plan/";
inline const std::string executionPrefix = "execution/";
inline const std::string logPrefix = "log/";

/// @return @p revision zero-padded to 20 digits, so that keys sort numerically
std::string paddedText(Revision revision);

std::string encodeRecord(const HeadRecord &record);
std::string encodeRecord(const PlanRecord &record);
std::string encodeRecord(const ExecutionRecord &record);
std::string encodeRecord(const LogRecord &record);
/// Decodes @p text into @p Record (one of the four record types). Errors: Invalid.
template<class Record>
Result<Record> decodeRecord(const std::string &text);

} // namespace monsoonward
