#pragma once

#include <string>
#include <vector>

/// The state table of a request at its entry, as docs/HANDOVER.md shows it.
namespace monsoonward
{

enum class EntryState {
    Keying, ///< a row it needs (idempotency, isolation) isn't certain yet
    Waiting, ///< reserved at targets; not handed over
    HandedOver, ///< given to one claim; may run
    Settling, ///< the link to the claim's holder is lost; waits for the holder's word
    Cancelling, ///< the caller has gone; waits for the holder's word
    Ended, ///< answered and forgotten, or never known
};

enum class EntryEvent {
    KeyCertain, ///< every row that it needs is its own
    Suspected, ///< it became known that it was in progress at a crash; it must pass isolation
    KeyRefused, ///< a row is another's, or the store doesn't answer
    ClaimArrives, ///< a claim that doesn't hold the request
    ClaimRepeated, ///< the claim that holds the request, once more
    NeverDispatched, ///< the holder's word: not dispatched and never will be
    RunConfirmed, ///< the holder's word: was dispatched
    AnswerWhole,
    AnswerBroken, ///< the answer ended and isn't whole
    LinkLost, ///< the stream or the connection to the holder closed
    HolderBack, ///< the holder's incarnation is connected again
    HolderGone, ///< another incarnation runs on the holder's host
    SettleTimeout,
    Overrun, ///< the deadline passed long ago
    CallerGone,
    Evicted, ///< the policy took it out, or its deadline passed
};

enum class EntryAction {
    Ignore,
    Reserve, ///< offer it to targets
    HandOver,
    RejectClaim,
    Withdraw, ///< take its reservations back
    AskHolder, ///< send Cancel; start the settle timeout
    Replace, ///< offer it to targets again, under the retry budget
    RefuseAsTold, ///< the event brings the refusal
    RefuseNotRun,
    RefuseMayHaveRun,
    Complete,
};

/// @brief One row of the table.
struct EntryRule
{
    EntryState state;
    EntryEvent event;
    EntryAction action;
    EntryState next;
};

const std::vector<EntryRule> &entryTable();
/// @return the row for @p state and @p event; a pair without a row is ignored and keeps its state
EntryRule entryRule(EntryState state, EntryEvent event);

std::string textOf(EntryState state);
std::string textOf(EntryEvent event);
std::string textOf(EntryAction action);

} // namespace monsoonward
