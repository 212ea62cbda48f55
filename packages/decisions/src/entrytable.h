#pragma once

#include <string>
#include <vector>

/// The states of a request at its entry. docs/HANDOVER.md shows the same table; a test compares them.
namespace monsoonward
{

enum class EntryState {
    Keying, ///< acquires the table rows that it needs, for idempotency or an isolated run
    Waiting, ///< reserved at targets; not handed over
    HandedOver, ///< handed over to one claim; may run
    Settling, ///< lost the link to the holder or overran; waits for the holder to say whether it was dispatched
    Cancelling, ///< the caller has gone; waits for the holder to say whether it was dispatched
    Ended, ///< answered and forgotten, or unknown
};

enum class EntryEvent {
    KeyCertain, ///< it has acquired all rows that it needs
    Suspected, ///< requests with its fingerprint were in progress at a crash; it needs an isolated run
    KeyRefused, ///< another request holds a row, the store is unavailable, or a suspect is refused
    ClaimArrives, ///< a claim arrives that the request isn't handed over to
    ClaimRepeated, ///< a duplicate of the claim that it is handed over to
    NeverDispatched, ///< the holder says that it didn't dispatch it and never will
    RunConfirmed, ///< the holder says that it dispatched it
    AnswerWhole, ///< the complete answer has arrived
    AnswerBroken, ///< the answer has ended incomplete
    LinkLost, ///< the request's stream or the connection to the holder closed
    HolderBack, ///< the same incarnation of the holder is connected again
    HolderGone, ///< another incarnation runs on the holder's host
    SettleTimeout, ///< the holder didn't answer in time
    Overrun, ///< it still runs after its deadline and EntryOptions::overrunLimit
    CallerGone,
    Evicted, ///< the policy removed it, or its deadline passed
};

enum class EntryAction {
    Ignore,
    Reserve, ///< reserve it at targets
    HandOver, ///< send it to the claim's daemon
    RejectClaim,
    Withdraw, ///< cancel its reservations
    AskHolder, ///< send Cancel; start the settle timeout unless the holder has just come back
    Replace, ///< reserve it at targets again, if the retry budget allows it
    RefuseAsTold, ///< end it with the refusal that came with the event
    RefuseNotRun, ///< end it with verdict NotRun
    RefuseMayHaveRun, ///< end it with verdict MayHaveRun
    Complete, ///< deliver the answer
};

/// @brief One row of the state table.
struct EntryRule
{
    EntryState state;
    EntryEvent event;
    EntryAction action;
    EntryState next;
};

const std::vector<EntryRule> &entryTable();
/// @return the rule for @p state and @p event; without one in the table, the event is ignored and the state stays
EntryRule entryRule(EntryState state, EntryEvent event);

std::string textOf(EntryState state);
std::string textOf(EntryEvent event);
std::string textOf(EntryAction action);

} // namespace monsoonward
