#pragma once

#include "change.h"

#include <cstdint>
#include <string>
#include <vector>

/// What the table service keeps for control, and its encoding as JSON text.
///
///     config/head             HeadRecord
///     config/delta/REVISION   encodeDelta(), of the change that led to the revision
///     plan/ID                 PlanRecord
///     execution/ID            ExecutionRecord, while the plan is being executed
///     log/REVISION/ID         LogRecord
namespace monsoonward
{

/// @brief The configuration in force.
struct HeadRecord
{
    Revision revision = 0;
    ContentHash hash = 0;
    Revision snapshot = 0; ///< revision of the newest snapshot; 0: none, the deltas begin with revision 1
    std::string snapshotObject;
    MONSOONWARD_FIELDS(revision, hash, snapshot, snapshotObject)
};

enum class EditKind {
    Apply, ///< value: encodeDelta() in hexadecimal; only as the first change of a plan
    SetHostState, ///< value: in-service or draining
    SetTargetState,
    RemoveHost, ///< with its targets and their engines
    SetTargetService, ///< value: the service
    SetServiceVersion, ///< value: the version
    SetLimit, ///< value: key=number
    AddKey, ///< value: the hash
    RemoveKey,
};

/// @brief One edit of the configuration. It says what must hold after it, so that it may be applied again.
struct Edit
{
    EditKind kind = EditKind::Apply;
    std::string subject;
    std::string value;
    MONSOONWARD_FIELDS(kind, subject, value)
};

enum class StepKind {
    Change, ///< edits take effect
    WaitInForce, ///< every daemon has the last change in force
    WaitDrained, ///< no request is in progress at the targets
};

struct Step
{
    StepKind kind = StepKind::Change;
    std::string text; ///< for operators
    std::vector<Edit> edits;
    std::vector<std::string> targets;
    MONSOONWARD_FIELDS(kind, text, edits, targets)
};

/// @brief Slots of a service for one tier: all tiers share them, higher ones first.
struct CapacityLine
{
    std::string service;
    unsigned tier = 0;
    std::uint64_t before = 0; ///< slots of targets in service
    std::uint64_t during = 0; ///< the fewest at any step
    std::uint64_t after = 0;
    std::uint64_t waiting = 0; ///< requests of the tier that wait now
    MONSOONWARD_FIELDS(service, tier, before, during, after, waiting)
};

/// @brief A promise that a plan would break, by a stable name.
struct GuaranteeViolation
{
    std::string reason;
    std::string detail;
    MONSOONWARD_FIELDS(reason, detail)
};

struct Intent
{
    std::string kind;
    std::string subject;
    std::string value;
    std::vector<std::string> overrides; ///< reasons of broken promises that the operator accepts
    MONSOONWARD_FIELDS(kind, subject, value, overrides)
};

enum class PlanState { Proposed, Executing, Done, Aborted };

struct PlanRecord
{
    std::string id;
    Revision base = 0;
    Intent intent;
    std::vector<Step> steps;
    std::vector<std::string> changes; ///< entries that change, for operators
    std::vector<CapacityLine> capacity;
    std::uint64_t requestsTouched = 0; ///< in progress at the targets concerned, when computed
    std::vector<GuaranteeViolation> broken;
    std::string undo;
    std::string createdBy;
    std::int64_t createdAt = 0; ///< milliseconds since 1970
    std::int64_t expiresAt = 0;
    PlanState state = PlanState::Proposed;
    std::string confirmedBy;
    std::int64_t confirmedAt = 0;
    std::string confirmation; ///< random; tells whose confirmation took effect
    Revision revision = 0; ///< that the confirmation led to
    std::string outcome; ///< what stands, when done or aborted
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

/// @brief Progress of a plan and the lease of the daemon that executes it. The row's version is the fencing number.
struct ExecutionRecord
{
    std::string plan;
    std::string holder; ///< incarnation
    std::string holderHost;
    std::uint64_t step = 0; ///< index of the step to do next
    Revision revision = 0; ///< of the last change that the plan made
    std::uint64_t renewals = 0;
    MONSOONWARD_FIELDS(plan, holder, holderHost, step, revision, renewals)
};

/// @brief One line of the operators' log.
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

/// @return @p revision in 20 digits, so that keys sort like numbers
std::string paddedText(Revision revision);

std::string encodeRecord(const HeadRecord &record);
std::string encodeRecord(const PlanRecord &record);
std::string encodeRecord(const ExecutionRecord &record);
std::string encodeRecord(const LogRecord &record);
/// Decodes @p text into @p Record (one of the four). Errors: Invalid.
template<class Record>
Result<Record> decodeRecord(const std::string &text);

} // namespace monsoonward
