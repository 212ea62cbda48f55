#include "targettable.h"

namespace monsoonward
{

const std::vector<TargetRule> &targetTable()
{
    using S = TargetState;
    using E = TargetEvent;
    using A = TargetAction;
    static const std::vector<TargetRule> table {
        {S::Open, E::HandOverArrives, A::Dispatch, S::Running},
        {S::Open, E::ClaimRejected, A::Release, S::Forgotten},
        {S::Open, E::CancelArrives, A::GiveUpAndConfirm, S::Refused},
        {S::Open, E::StreamLost, A::GiveUp, S::Refused},
        {S::Open, E::ClaimTimeout, A::GiveUp, S::Refused},
        {S::Open, E::EntryGone, A::Release, S::Forgotten},
        {S::Running, E::CancelArrives, A::ConfirmRun, S::Running},
        {S::Running, E::StreamLost, A::CancelRun, S::Running},
        {S::Running, E::EntryGone, A::CancelRun, S::Running},
        {S::Running, E::EngineFinished, A::Forget, S::Forgotten},
        {S::Refused, E::CancelArrives, A::ConfirmNotRun, S::Refused},
        {S::Refused, E::RefusedAcked, A::Forget, S::Forgotten},
        {S::Refused, E::EntryGone, A::Forget, S::Forgotten},
        {S::Forgotten, E::CancelArrives, A::ReplyMayHaveRun, S::Forgotten},
    };
    return table;
}

TargetRule targetRule(TargetState state, TargetEvent event)
{
    for (const auto &it : targetTable()) {
        if (it.state == state && it.event == event) {
            return it;
        }
    }
    return {state, event, TargetAction::Ignore, state};
}

std::string textOf(TargetState state)
{
    switch (state) {
    case TargetState::Open:
        return "Open";
    case TargetState::Running:
        return "Running";
    case TargetState::Refused:
        return "Refused";
    case TargetState::Forgotten:
        return "Forgotten";
    }
    return {};
}

std::string textOf(TargetEvent event)
{
    switch (event) {
    case TargetEvent::HandOverArrives:
        return "HandOverArrives";
    case TargetEvent::ClaimRejected:
        return "ClaimRejected";
    case TargetEvent::CancelArrives:
        return "CancelArrives";
    case TargetEvent::StreamLost:
        return "StreamLost";
    case TargetEvent::ClaimTimeout:
        return "ClaimTimeout";
    case TargetEvent::EngineFinished:
        return "EngineFinished";
    case TargetEvent::RefusedAcked:
        return "RefusedAcked";
    case TargetEvent::EntryGone:
        return "EntryGone";
    }
    return {};
}

std::string textOf(TargetAction action)
{
    switch (action) {
    case TargetAction::Ignore:
        return "Ignore";
    case TargetAction::Dispatch:
        return "Dispatch";
    case TargetAction::Release:
        return "Release";
    case TargetAction::GiveUp:
        return "GiveUp";
    case TargetAction::CancelRun:
        return "CancelRun";
    case TargetAction::ConfirmRun:
        return "ConfirmRun";
    case TargetAction::ConfirmNotRun:
        return "ConfirmNotRun";
    case TargetAction::GiveUpAndConfirm:
        return "GiveUpAndConfirm";
    case TargetAction::ReplyMayHaveRun:
        return "ReplyMayHaveRun";
    case TargetAction::Forget:
        return "Forget";
    }
    return {};
}

} // namespace monsoonward
