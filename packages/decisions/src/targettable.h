#pragma once

#include <string>
#include <vector>

/// The states of a claim at its target daemon. docs/HANDOVER.md shows the same table; a test compares them.
namespace monsoonward
{

enum class TargetState {
    Open, ///< sent to the entry and not answered yet; the only state from which a request is dispatched
    Running, ///< the request was handed over and dispatched
    Refused, ///< given up before the request was dispatched; the entry hasn't acknowledged that yet
    Forgotten, ///< ended, or unknown
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
    GiveUp, ///< free the slot and send Refused until it is acknowledged
    CancelRun, ///< stop the run at the engine
    ConfirmRun, ///< stop the run and reply that the request was dispatched
    ConfirmNotRun, ///< reply that the request wasn't and won't be dispatched
    GiveUpAndConfirm, ///< GiveUp, then ConfirmNotRun
    ReplyMayHaveRun, ///< reply that the request may have run, because the claim is no longer known
    Forget,
};

/// @brief One row of the state table.
struct TargetRule
{
    TargetState state;
    TargetEvent event;
    TargetAction action;
    TargetState next;
};

const std::vector<TargetRule> &targetTable();
/// @return the rule for @p state and @p event; without one in the table, the event is ignored and the state stays
TargetRule targetRule(TargetState state, TargetEvent event);

std::string textOf(TargetState state);
std::string textOf(TargetEvent event);
std::string textOf(TargetAction action);

} // namespace monsoonward
