#include "entrytable.h"

namespace monsoonward
{

const std::vector<EntryRule> &entryTable()
{
    using S = EntryState;
    using E = EntryEvent;
    using A = EntryAction;
    static const std::vector<EntryRule> table {
        {S::Keying, E::KeyCertain, A::Reserve, S::Waiting},
        {S::Keying, E::KeyRefused, A::RefuseAsTold, S::Ended},
        {S::Keying, E::ClaimArrives, A::RejectClaim, S::Keying},
        {S::Keying, E::CallerGone, A::RefuseNotRun, S::Ended},
        {S::Keying, E::Evicted, A::RefuseAsTold, S::Ended},
        {S::Waiting, E::ClaimArrives, A::HandOver, S::HandedOver},
        {S::Waiting, E::Suspected, A::Withdraw, S::Keying},
        {S::Waiting, E::CallerGone, A::RefuseNotRun, S::Ended},
        {S::Waiting, E::Evicted, A::RefuseAsTold, S::Ended},
        {S::HandedOver, E::ClaimArrives, A::RejectClaim, S::HandedOver},
        {S::HandedOver, E::NeverDispatched, A::Replace, S::Waiting},
        {S::HandedOver, E::AnswerWhole, A::Complete, S::Ended},
        {S::HandedOver, E::AnswerBroken, A::RefuseMayHaveRun, S::Ended},
        {S::HandedOver, E::LinkLost, A::AskHolder, S::Settling},
        {S::HandedOver, E::HolderGone, A::RefuseMayHaveRun, S::Ended},
        {S::HandedOver, E::Overrun, A::AskHolder, S::Settling},
        {S::HandedOver, E::CallerGone, A::AskHolder, S::Cancelling},
        {S::Settling, E::ClaimArrives, A::RejectClaim, S::Settling},
        {S::Settling, E::NeverDispatched, A::Replace, S::Waiting},
        {S::Settling, E::RunConfirmed, A::RefuseMayHaveRun, S::Ended},
        {S::Settling, E::AnswerWhole, A::Complete, S::Ended},
        {S::Settling, E::AnswerBroken, A::RefuseMayHaveRun, S::Ended},
        {S::Settling, E::HolderBack, A::AskHolder, S::Settling},
        {S::Settling, E::HolderGone, A::RefuseMayHaveRun, S::Ended},
        {S::Settling, E::SettleTimeout, A::RefuseMayHaveRun, S::Ended},
        {S::Settling, E::CallerGone, A::AskHolder, S::Cancelling},
        {S::Cancelling, E::ClaimArrives, A::RejectClaim, S::Cancelling},
        {S::Cancelling, E::NeverDispatched, A::RefuseNotRun, S::Ended},
        {S::Cancelling, E::RunConfirmed, A::RefuseMayHaveRun, S::Ended},
        {S::Cancelling, E::AnswerWhole, A::Complete, S::Ended},
        {S::Cancelling, E::AnswerBroken, A::RefuseMayHaveRun, S::Ended},
        {S::Cancelling, E::HolderBack, A::AskHolder, S::Cancelling},
        {S::Cancelling, E::HolderGone, A::RefuseMayHaveRun, S::Ended},
        {S::Cancelling, E::SettleTimeout, A::RefuseMayHaveRun, S::Ended},
        {S::Ended, E::ClaimArrives, A::RejectClaim, S::Ended},
    };
    return table;
}

EntryRule entryRule(EntryState state, EntryEvent event)
{
    for (const auto &it : entryTable()) {
        if (it.state == state && it.event == event) {
            return it;
        }
    }
    return {state, event, EntryAction::Ignore, state};
}

std::string textOf(EntryState state)
{
    switch (state) {
    case EntryState::Keying:
        return "Keying";
    case EntryState::Waiting:
        return "Waiting";
    case EntryState::HandedOver:
        return "HandedOver";
    case EntryState::Settling:
        return "Settling";
    case EntryState::Cancelling:
        return "Cancelling";
    case EntryState::Ended:
        return "Ended";
    }
    return {};
}

std::string textOf(EntryEvent event)
{
    switch (event) {
    case EntryEvent::KeyCertain:
        return "KeyCertain";
    case EntryEvent::Suspected:
        return "Suspected";
    case EntryEvent::KeyRefused:
        return "KeyRefused";
    case EntryEvent::ClaimArrives:
        return "ClaimArrives";
    case EntryEvent::ClaimRepeated:
        return "ClaimRepeated";
    case EntryEvent::NeverDispatched:
        return "NeverDispatched";
    case EntryEvent::RunConfirmed:
        return "RunConfirmed";
    case EntryEvent::AnswerWhole:
        return "AnswerWhole";
    case EntryEvent::AnswerBroken:
        return "AnswerBroken";
    case EntryEvent::LinkLost:
        return "LinkLost";
    case EntryEvent::HolderBack:
        return "HolderBack";
    case EntryEvent::HolderGone:
        return "HolderGone";
    case EntryEvent::SettleTimeout:
        return "SettleTimeout";
    case EntryEvent::Overrun:
        return "Overrun";
    case EntryEvent::CallerGone:
        return "CallerGone";
    case EntryEvent::Evicted:
        return "Evicted";
    }
    return {};
}

std::string textOf(EntryAction action)
{
    switch (action) {
    case EntryAction::Ignore:
        return "Ignore";
    case EntryAction::Reserve:
        return "Reserve";
    case EntryAction::HandOver:
        return "HandOver";
    case EntryAction::RejectClaim:
        return "RejectClaim";
    case EntryAction::Withdraw:
        return "Withdraw";
    case EntryAction::AskHolder:
        return "AskHolder";
    case EntryAction::Replace:
        return "Replace";
    case EntryAction::RefuseAsTold:
        return "RefuseAsTold";
    case EntryAction::RefuseNotRun:
        return "RefuseNotRun";
    case EntryAction::RefuseMayHaveRun:
        return "RefuseMayHaveRun";
    case EntryAction::Complete:
        return "Complete";
    }
    return {};
}

} // namespace monsoonward
