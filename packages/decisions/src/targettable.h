#pragma once

#include <string>
#include <vector>

/// The state table of a claim at its target daemon, as docs/HANDOVER.md shows it.
namespace monsoonward
{

enum class TargetState {
    Open, ///< sent to the entry, not answered; the only state from which a request is dispatched
    Running, ///< handed over and dispatched
    Refused, ///< given up before dispatch; the entry hasn't acknowledged it
    Forgotten, ///< ended, or never known
};

enum class TargetEvent {
    HandOverArrives,
    ClaimRejected,
    CancelArrives,
    StreamLost,
    ClaimTimeout,
    EngineFinished,
    RefusedAcked,
    EntryGone, ///< another incarnation runs on the entry's host
};

enum class TargetAction {
    Ignore,
    Dispatch,
    Release, ///< free the slot
    GiveUp, ///< free the slot, send Refused until it is acknowledged
    CancelRun,
    ConfirmRun, ///< stop the run, reply that it was dispatched
    ConfirmNotRun, ///< reply that it never will be dispatched
    GiveUpAndConfirm, ///< GiveUp, then ConfirmNotRun
    ReplyMayHaveRun, ///< nothing is known of it any more
    Forget,
};

/// @brief One row of the table.
struct TargetRule
{
    TargetState state;
    TargetEvent event;
    TargetAction action;
    TargetState next;
};

const std::vector<TargetRule> &targetTable();
/// @return the row for @p state and @p event; a pair without a row is ignored and keeps its state
TargetRule targetRule(TargetState state, TargetEvent event);

std::string textOf(TargetState state);
std::string textOf(TargetEvent event);
std::string textOf(TargetAction action);

} // namespace monsoonward
